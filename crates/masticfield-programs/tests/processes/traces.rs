//! Export of spans: a collector receives those of an entry, in the trace of the caller.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;

use rustix::process::Signal;

use crate::support::{Installation, exchange};

const VITORIA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/vitoria.toml");
const SERVICE: &str = "shop-counter-booking";
const TRACE: &str = "0af7651916cd43dd8448eb211c80319c";

/// Starts a fake collector; each request that it receives is sent to the channel.
fn start_collector() -> (SocketAddr, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            // The test may have ended and dropped the receiver.
            let _ = tx.send(read_request(stream.unwrap()));
        }
    });
    (address, rx)
}

/// Reads one request with a `content-length` header, answers it and returns its text.
fn read_request(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buf = [0; 4_096];
    loop {
        let count = stream.read(&mut buf).unwrap();
        bytes.extend_from_slice(&buf[..count]);
        let request = String::from_utf8_lossy(&bytes).to_lowercase();
        let complete = request.split_once("\r\n\r\n").is_some_and(|(head, body)| {
            let length = head
                .split("content-length: ")
                .nth(1)
                .and_then(|rest| rest.lines().next());
            length.and_then(|length| length.parse().ok()) == Some(body.len())
        });
        if complete || count == 0 {
            break;
        }
    }
    stream
        .write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\n{}")
        .unwrap();
    String::from_utf8_lossy(&bytes).into_owned()
}

#[test]
fn spans_of_the_entry_join_the_trace_of_the_caller() {
    let (address, requests) = start_collector();
    let installation = Installation::start();
    let endpoint = format!("http://{address}/v1/traces");
    let flags = ["--trace-endpoint", endpoint.as_str()];
    let entry = installation.start_entry_with(1, "vit-a", 1, &[], &flags);
    installation.run_cli_json(&["apply", VITORIA, "--wait"]);
    let _upstream = installation.start_upstream("exec-1", SERVICE, &[&entry]);
    installation.wait_until(&["upstreams"], |rows| rows.as_array().unwrap().len() == 1);
    let request = format!(
        "GET /{SERVICE}/ HTTP/1.1\r\nhost: t\r\nconnection: close\r\ntraceparent: 00-{TRACE}-b7ad6b7169203331-01\r\n\r\n"
    );
    let response = exchange(entry.address("caller"), request.as_bytes());
    assert!(
        response.contains(&format!("traceparent: 00-{TRACE}-")),
        "{response}"
    );
    entry.signal(Signal::TERM);
    assert_eq!(entry.wait(), Some(0));
    let mut received = String::new();
    while !(received.contains("caller request") && received.contains("upstream request")) {
        received.push_str(
            &requests
                .recv_timeout(std::time::Duration::from_secs(20))
                .unwrap(),
        );
    }
    assert!(received.contains(TRACE), "{received}");
}
