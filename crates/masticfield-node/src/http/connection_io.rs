//! The I/O of a server's connection.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::connections::OpenConnection;

/// Reports progress to the table of connections, and limits the time in which a peer takes no
/// bytes of a response.
#[derive(Debug)]
pub(super) struct ConnectionIo {
    stream: TokioIo<TcpStream>,
    connection: Arc<OpenConnection>,
    write_timeout: Duration,
    write_deadline: Option<Pin<Box<Sleep>>>,
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
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
