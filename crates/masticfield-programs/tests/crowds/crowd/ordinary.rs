//! Requests of an ordinary client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time within which one of the attempts of an ordinary client must be served.
const PATIENCE: Duration = Duration::from_mins(1);

/// Time limit for the response to one attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before the next attempt.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Statuses after which a client may repeat its request.
const REPEATABLE: [u16; 3] = [429, 503, 504];

/// A request, apart from the framing of its body.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// Method of the request.
    pub(crate) method: &'static str,
    /// Path of the request.
    pub(crate) path: String,
    /// Header lines, each with its end.
    pub(crate) headers: &'static str,
    /// Body of the request.
    pub(crate) body: Vec<u8>,
}

/// Sends the bytes of a request over a new connection, and returns the status of the response;
/// none if there is no response.
pub(crate) fn serve_once(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_write_timeout(Some(timeout)).ok()?;
    // A peer that has refused the request may have closed the connection.
    drop(stream.write_all(bytes));
    let mut response = Vec::new();
    let mut buf = [0; 4096];
    while !response.contains(&b'\n') {
        match stream.read(&mut buf) {
            Ok(0) | Err(_) => return None,
            Ok(count) => response.extend_from_slice(&buf[..count]),
        }
    }
    let line = String::from_utf8_lossy(&response);
    line.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
}

/// Repeats a request after a refusal, an unknown outcome or a broken connection, and returns the
/// last status.
pub(crate) fn serve_until_success(address: SocketAddr, bytes: &[u8]) -> Option<u16> {
    let started = Instant::now();
    loop {
        let status = serve_once(address, bytes, ATTEMPT_TIMEOUT);
        let repeatable = status.is_none_or(|status| REPEATABLE.contains(&status));
        if !repeatable || started.elapsed() > PATIENCE {
            return status;
        }
        std::thread::sleep(RETRY_DELAY);
    }
}
