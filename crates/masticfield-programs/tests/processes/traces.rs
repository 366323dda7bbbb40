//! Spans of each hop reach a collector under the caller's trace.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;

use rustix::process::Signal;

use crate::support::{Installation, exchange};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const SERVICE: &str = "shop-counter-booking";
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// A stand-in for a collector; hands out each body that is posted to it.
fn collector() -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            // The test may be over already.
            let _ = tx.send(receive(stream.unwrap()));
        }
    });
    (address, rx)
}

/// Reads one request with a content length and answers it.
fn receive(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let count = stream.read(&mut buf).unwrap();
        text.extend_from_slice(&buf[..count]);
        let request = String::from_utf8_lossy(&text).to_lowercase();
        let whole = request.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next());
            length.and_then(|length| length.parse().ok()) == Some(body.len())
        });
        if whole || count == 0 {
            break;
        }
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}")
        .unwrap();
    String::from_utf8_lossy(&text).into_owned()
}

#[test]
fn each_hop_is_a_span_of_the_callers_trace() {
    let (address, spans) = collector();
    let installation = Installation::start();
    let endpoint = format!("http://{address}/v1/traces");
    let flags = ["--trace-endpoint", endpoint.as_str()];
    let entry = installation.start_entry_with(1, "vit-a", 1, &[], &flags);
    installation.report(&["apply", VITORIA, "--wait"]);
    let _upstream = installation.start_upstream("exec-1", SERVICE, &[&entry]);
    installation.wait_until(&["upstreams"], |rows| rows.as_array().unwrap().len() == 1);
    let request = format!(
        "GET /{SERVICE}/ HTTP/1.1\r\nhost: t\r\nconnection: close\r\ntraceparent: 00-{TRACE}-b7ad6b7169203331-01\r\n\r\n"
    );
    let answer = exchange(entry.address("caller"), request.as_bytes());
    assert!(
        answer.contains(&format!("traceparent: 00-{TRACE}-")),
        "{answer}"
    );
    entry.signal(Signal::TERM);
    assert_eq!(entry.wait(), Some(0));
    let mut seen = String::new();
    while !(seen.contains("caller request") && seen.contains("upstream request")) {
        seen.push_str(
            &spans
                .recv_timeout(std::time::Duration::from_secs(20))
                .unwrap(),
        );
    }
    assert!(seen.contains(TRACE), "{seen}");
}
