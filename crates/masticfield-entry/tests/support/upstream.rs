//! An upstream that misbehaves as the path of a request says.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub struct Upstream {
    pub address: SocketAddr,
    /// Paths of the requests that ran.
    pub ran: Arc<Mutex<Vec<String>>>,
}

impl Upstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            ran: Arc::default(),
        };
        let ran = Arc::clone(&upstream.ran);
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&ran)));
            }
        });
        upstream
    }

    /// How often a request for `path` ran.
    pub fn runs(&self, path: &str) -> usize {
        let ran = self.ran.lock().unwrap();
        ran.iter().filter(|ran| *ran == path).count()
    }
}

async fn serve(mut stream: TcpStream, ran: Arc<Mutex<Vec<String>>>) {
    let mut earlier = "e9-1".to_owned();
    while let Some((path, id)) = read_request(&mut stream).await {
        if path != "/refused" {
            ran.lock().unwrap().push(path.clone());
        }
        let whole = answer(&id, "done");
        let bytes = match path.as_str() {
            "/freeze" => {
                tokio::time::sleep(Duration::from_mins(1)).await;
                return;
            }
            "/slow" => {
                tokio::time::sleep(Duration::from_millis(700)).await;
                whole
            }
            "/late" => {
                tokio::time::sleep(Duration::from_millis(2_300)).await;
                whole
            }
            "/closed" => return,
            "/refused" => head(&id, "masticfield-outcome: not-run\r\ncontent-length: 0\r\n"),
            "/crossed" => {
                // The answer to an earlier request comes first, and the right one late.
                let crossed = answer(&earlier, "done");
                if stream.write_all(crossed.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                whole
            }
            "/nameless" => "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone".to_owned(),
            "/twice" => format!("{whole}{whole}"),
            "/overlong" => answer(&id, &"x".repeat(1_001)),
            "/long-head" => head(&id, &format!("x-long: {}\r\n", "x".repeat(200_000))),
            "/torn" => head(&id, "content-length: 9\r\n") + "done",
            "/torn-chunk" => head(&id, "transfer-encoding: chunked\r\n") + "9\r\ndone",
            "/no-length" => head(&id, "connection: close\r\n") + "do",
            _ => whole,
        };
        let torn = ["/torn", "/torn-chunk", "/no-length"].contains(&path.as_str());
        if stream.write_all(bytes.as_bytes()).await.is_err() || torn {
            return;
        }
        earlier = id;
    }
}

fn head(id: &str, headers: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nmasticfield-request-id: {id}\r\n{headers}\r\n")
}

fn answer(id: &str, body: &str) -> String {
    head(id, &format!("content-length: {}\r\n", body.len())) + body
}

/// Reads a request with its body; returns its path and its request identifier.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    };
    let head = String::from_utf8(buf[..end].to_vec()).ok()?;
    let value = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.to_owned())
    };
    let length: usize = value("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    while buf.len() < end + length {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    let path = head.split(' ').nth(1)?.to_owned();
    Some((path, value("masticfield-request-id")?))
}
