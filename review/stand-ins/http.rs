//! HTTP/1.1 with bodies of a given length: a client, and a server with a thread per connection.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: HashMap<String, String>,
    pub body: String,
}

#[derive(Debug, Clone)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: String,
}

/// Reads the first line, the headers (names in lower case) and the body of a message.
fn read_message(
    reader: &mut BufReader<TcpStream>,
) -> Option<(String, HashMap<String, String>, String)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some((
        first.trim_end().to_owned(),
        headers,
        String::from_utf8(body).ok()?,
    ))
}

/// Sends a request over a new connection; `None` without a complete response in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    timeout: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        text += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += "Content-Type: application/json\r\nConnection: close\r\n\r\n";
    text += body;
    // In one piece, so that a link that is held up has all of it.
    stream.write_all(text.as_bytes()).ok()?;
    let (first, headers, body) = read_message(&mut BufReader::new(stream))?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some(Response {
        status,
        headers,
        body,
    })
}

/// Serves until `open` is false, after which connections are closed without an answer. A handler
/// that returns `None` closes its connection.
pub fn serve(
    listener: TcpListener,
    open: Arc<AtomicBool>,
    handler: impl Fn(Request) -> Option<(u16, String)> + Send + Sync + 'static,
) {
    let handler = Arc::new(handler);
    listener
        .set_nonblocking(true)
        .expect("a listener can be set to non-blocking");
    std::thread::spawn(move || {
        while open.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
                    std::thread::spawn(move || connection(stream, &open, &*handler));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(2)),
            }
        }
    });
}

fn connection(
    stream: TcpStream,
    open: &AtomicBool,
    handler: &(dyn Fn(Request) -> Option<(u16, String)> + Send + Sync),
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(70)));
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader) {
        let mut words = first.split(' ');
        let (Some(method), Some(path)) = (words.next(), words.next()) else {
            return;
        };
        if !open.load(Ordering::SeqCst) {
            return;
        }
        let request = Request {
            method: method.into(),
            path: path.into(),
            headers,
            body,
        };
        let Some((status, body)) = handler(request) else {
            return;
        };
        if !open.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// A link that holds up what is sent over it: passes on the first bytes of each connection once
/// `held` is over, also if the sender has ended meanwhile.
pub fn hold_up(
    listener: TcpListener,
    to: SocketAddr,
    held: Arc<AtomicBool>,
    passed: impl Fn(usize) + Send + Sync + 'static,
) {
    let passed = Arc::new(passed);
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let (held, passed) = (Arc::clone(&held), Arc::clone(&passed));
            std::thread::spawn(move || {
                let mut bytes = [0; 4_096];
                let Ok(count) = stream.read(&mut bytes) else {
                    return;
                };
                while held.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(10));
                }
                let Ok(mut onward) = TcpStream::connect(to) else {
                    return;
                };
                passed(count);
                let _ = onward.write_all(&bytes[..count]);
                let _ = onward.set_read_timeout(Some(Duration::from_secs(2)));
                let _ = onward.read(&mut bytes);
            });
        }
    });
}
