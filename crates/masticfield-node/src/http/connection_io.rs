//! The I/O of a server's connection.

use std::io;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::connections::OpenConnection;

/// Time for which the rest of a request is discarded, so that its sender reads the response.
const DISCARD_TIME: Duration = Duration::from_secs(2);

/// Maximum size of the rest of a request that is discarded, in bytes.
const MAX_DISCARDED_BYTES: usize = 8 * 1024 * 1024;

/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4 * 1024;

/// Reports progress to the table of connections, and limits the time in which a peer takes no
/// bytes of a response.
///
/// If a request was not read to its end, its rest is discarded before the connection is closed. A
/// connection that is closed with unread bytes is reset, and its peer loses the response.
#[derive(Debug)]
pub(super) struct ConnectionIo {
    stream: TokioIo<TcpStream>,
    connection: Arc<OpenConnection>,
    write_timeout: Duration,
    write_deadline: Option<Pin<Box<Sleep>>>,
    discard: Option<Discard>,
}

/// Progress of discarding the rest of a request.
#[derive(Debug)]
struct Discard {
    deadline: Pin<Box<Sleep>>,
    bytes: usize,
}

impl ConnectionIo {
    pub(super) fn new(
        stream: TcpStream,
        connection: Arc<OpenConnection>,
        write_timeout: Duration,
    ) -> Self {
        Self {
            stream: TokioIo::new(stream),
            connection,
            write_timeout,
            write_deadline: None,
            discard: None,
        }
    }

    /// Fails if a write makes no progress within its time limit.
    fn check_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.write_deadline = None;
            self.connection.progressed();
            return written;
        }
        let timeout = self.write_timeout;
        let deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        ready!(deadline.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards what arrives until the peer closes the connection or a limit is reached.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let discard = self.discard.get_or_insert_with(|| Discard {
            deadline: Box::pin(tokio::time::sleep(DISCARD_TIME)),
            bytes: 0,
        });
        while discard.bytes < MAX_DISCARDED_BYTES && discard.deadline.as_mut().poll(cx).is_pending()
        {
            let mut buf = [0; DISCARD_BUFFER_BYTES];
            let mut buf = ReadBuf::new(&mut buf);
            let stream = pin!(self.stream.inner_mut());
            let read = ready!(stream.poll_read(cx, &mut buf));
            if read.is_err() || buf.filled().is_empty() {
                break;
            }
            discard.bytes += buf.filled().len();
        }
        Poll::Ready(())
    }
}

impl Read for ConnectionIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_ready() {
            self.connection.progressed();
        }
        read
    }
}

impl Write for ConnectionIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.check_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.check_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.discard.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.connection.discards_rest() {
            ready!(self.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
