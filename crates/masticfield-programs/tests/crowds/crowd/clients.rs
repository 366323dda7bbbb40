//! Clients that stop short of the end of a request and stay open.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use super::Request;

/// Time limit for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay between two connections, as the queue of those that are not accepted yet may be short.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);

/// Time without progress of any connection after which the crowd has sent all that is taken.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Time limit for a crowd to send its bytes.
const SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which connections that take no bytes are tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Size of a small write, in bytes.
const PIECE_BYTES: usize = 4 * 1024;

/// Size of a large chunk, in bytes.
const LARGE_CHUNK_BYTES: usize = 16 * 1024;

/// Number of requests on a connection whose responses are not read. The buffers of the operating
/// system take the first responses.
const UNREAD_REQUESTS: usize = 16;

/// What each client of a crowd sends before it stops and stays open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Pattern {
    /// A body with its length, without the last byte.
    WholeBody,
    /// The same in small writes, in turn over all connections.
    BodyInPieces,
    /// A body in large chunks, without the last byte.
    LargeChunks,
    /// A body in chunks of one byte, without the last one.
    SmallChunks,
    /// Complete requests whose responses are not read.
    UnreadResponses,
    /// A head without its end, in small writes.
    UnfinishedHead,
    /// Nothing.
    Nothing,
}

impl Pattern {
    /// The bytes that each client sends.
    fn bytes(self, req: &Request) -> Vec<u8> {
        let mut bytes = match self {
            Self::WholeBody | Self::BodyInPieces => body_request(req),
            Self::LargeChunks => chunked_request(req, LARGE_CHUNK_BYTES),
            Self::SmallChunks => chunked_request(req, 1),
            Self::UnreadResponses => return body_request(req).repeat(UNREAD_REQUESTS),
            Self::UnfinishedHead => {
                let fields = format!("X-Field: {}\r\n", "x".repeat(100)).repeat(70);
                return head(req, &fields).into_bytes();
            }
            Self::Nothing => return Vec::new(),
        };
        let missing = match self {
            Self::LargeChunks => "x\r\n0\r\n\r\n".len(),
            Self::SmallChunks => "1\r\nx\r\n0\r\n\r\n".len(),
            _ => 1,
        };
        bytes.truncate(bytes.len() - missing);
        bytes
    }

    /// Maximum size of one write, in bytes.
    const fn write_bytes(self) -> usize {
        match self {
            Self::BodyInPieces => PIECE_BYTES,
            Self::UnfinishedHead => 512,
            _ => usize::MAX,
        }
    }
}

/// Connections that stay open until the crowd is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    clients: Vec<Client>,
}

#[derive(Debug)]
struct Client {
    stream: TcpStream,
    sent: usize,
    broken: bool,
}

impl Crowd {
    /// Opens `count` connections, and sends the bytes of the pattern until the peer takes no more.
    pub(crate) fn open(address: SocketAddr, pattern: Pattern, req: &Request, count: usize) -> Self {
        let bytes = pattern.bytes(req);
        let mut clients = Vec::with_capacity(count);
        for _ in 0..count {
            std::thread::sleep(CONNECT_INTERVAL);
            match TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) {
                Ok(stream) => {
                    stream.set_nodelay(true).unwrap();
                    stream.set_nonblocking(true).unwrap();
                    clients.push(Client {
                        stream,
                        sent: 0,
                        broken: false,
                    });
                }
                // The queue of connections that the peer has not accepted is full.
                Err(error) if error.kind() == ErrorKind::TimedOut => break,
                // A connection that is refused is missing in the crowd.
                Err(_) => {}
            }
        }
        let mut crowd = Self { clients };
        crowd.send(&bytes, pattern.write_bytes());
        crowd
    }

    /// Number of connections that were established, and of bytes that were sent on them.
    pub(crate) fn size(&self) -> (usize, usize) {
        let sent = self.clients.iter().map(|client| client.sent);
        (self.clients.len(), sent.sum())
    }

    fn send(&mut self, bytes: &[u8], write_bytes: usize) {
        let started = Instant::now();
        let mut progressed = started;
        while progressed.elapsed() < STALL_TIME && started.elapsed() < SEND_TIMEOUT {
            let mut sent = 0;
            let mut finished = true;
            for client in &mut self.clients {
                sent += client.write(bytes, write_bytes);
                finished &= client.broken || client.sent == bytes.len();
            }
            if sent > 0 {
                progressed = Instant::now();
            } else {
                std::thread::sleep(RETRY_INTERVAL);
            }
            if finished {
                // The peer may not have read all bytes yet.
                std::thread::sleep(STALL_TIME);
                return;
            }
        }
    }
}

impl Client {
    /// Writes up to `write_bytes` of the bytes that are left, and returns the number written.
    fn write(&mut self, bytes: &[u8], write_bytes: usize) -> usize {
        let rest = &bytes[self.sent..];
        if self.broken || rest.is_empty() {
            return 0;
        }
        match self.stream.write(&rest[..rest.len().min(write_bytes)]) {
            Ok(written) => {
                self.sent += written;
                written
            }
            Err(error) => {
                self.broken = error.kind() != ErrorKind::WouldBlock;
                0
            }
        }
    }
}

/// A request whose body has its length.
pub(crate) fn body_request(req: &Request) -> Vec<u8> {
    let length = format!("Content-Length: {}\r\n\r\n", req.body.len());
    [head(req, &length).as_bytes(), &req.body].concat()
}

/// A request whose body is in chunks of `chunk_bytes`.
pub(crate) fn chunked_request(req: &Request, chunk_bytes: usize) -> Vec<u8> {
    let mut bytes = head(req, "Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for chunk in req.body.chunks(chunk_bytes) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// The start of a head, with these lines at its end.
fn head(req: &Request, lines: &str) -> String {
    let Request {
        method,
        path,
        headers,
        ..
    } = req;
    format!("{method} {path} HTTP/1.1\r\n{headers}{lines}")
}
