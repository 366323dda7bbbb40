//! A fake upstream, which fails in the way that the path of a request names.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

pub struct FakeUpstream {
    pub address: SocketAddr,
    /// Paths of the requests that ran, in order.
    pub ran_paths: Arc<Mutex<Vec<String>>>,
}

impl FakeUpstream {
    pub async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self {
            address: listener.local_addr().unwrap(),
            ran_paths: Arc::default(),
        };
        let ran_paths = Arc::clone(&upstream.ran_paths);
        tokio::spawn(async move {
            while let Ok((stream, _peer)) = listener.accept().await {
                tokio::spawn(serve(stream, Arc::clone(&ran_paths)));
            }
        });
        upstream
    }

    /// Returns how many requests for `path` ran.
    pub fn runs(&self, path: &str) -> usize {
        let ran_paths = self.ran_paths.lock().unwrap();
        ran_paths.iter().filter(|ran| *ran == path).count()
    }
}

async fn serve(mut stream: TcpStream, ran_paths: Arc<Mutex<Vec<String>>>) {
    let mut previous_id = "e9-1".to_owned();
    while let Some((path, id)) = read_request(&mut stream).await {
        if path != "/refused" {
            ran_paths.lock().unwrap().push(path.clone());
        }
        let complete = response(&id, "done");
        let bytes = match path.as_str() {
            "/hang" => {
                tokio::time::sleep(Duration::from_mins(1)).await;
                return;
            }
            "/slow" => {
                tokio::time::sleep(Duration::from_millis(700)).await;
                complete
            }
            "/late" => {
                tokio::time::sleep(Duration::from_millis(2_300)).await;
                complete
            }
            "/closed" => return,
            "/refused" => head(&id, "masticfield-outcome: not-run\r\ncontent-length: 0\r\n"),
            "/crossed" => {
                // The response to the previous request comes first, the right one after a delay.
                let crossed = response(&previous_id, "done");
                if stream.write_all(crossed.as_bytes()).await.is_err() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
                complete
            }
            "/no-request-id" => "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone".to_owned(),
            "/twice" => format!("{complete}{complete}"),
            "/overlong" => response(&id, &"x".repeat(1_001)),
            "/long-head" => head(&id, &format!("x-long: {}\r\n", "x".repeat(200_000))),
            "/torn" => head(&id, "content-length: 9\r\n") + "done",
            "/torn-chunk" => head(&id, "transfer-encoding: chunked\r\n") + "9\r\ndone",
            "/no-length" => head(&id, "connection: close\r\n") + "do",
            _ => complete,
        };
        let truncated = ["/torn", "/torn-chunk", "/no-length"].contains(&path.as_str());
        if stream.write_all(bytes.as_bytes()).await.is_err() || truncated {
            return;
        }
        previous_id = id;
    }
}

fn head(id: &str, headers: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nmasticfield-request-id: {id}\r\n{headers}\r\n")
}

fn response(id: &str, body: &str) -> String {
    head(id, &format!("content-length: {}\r\n", body.len())) + body
}

/// Reads a request with its body and returns its path and request identifier.
///
/// Returns `None` if the connection ends before the request does.
async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
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
