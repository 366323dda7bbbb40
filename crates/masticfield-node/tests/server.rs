//! A server and clients that do not behave.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use masticfield_core::kernel::ShutdownTrigger;
use masticfield_node::http::{HttpLimits, Server, text_reply};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest body that the server accepts, in bytes.
const MAX_BODY_BYTES: usize = 1_024;

/// Size of the response to a request for `/large`, in bytes.
const LARGE_BYTES: usize = 32 * 1024 * 1024;

const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Time limit for a response, shorter than the time limits of the server.
const TIMEOUT: Duration = Duration::from_secs(10);

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Starts a server that stops when the trigger is dropped with the runtime.
async fn start(limits: HttpLimits) -> (SocketAddr, ShutdownTrigger) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = Server::bind("test", address, limits).await.unwrap();
    let (address, trigger) = (server.address(), ShutdownTrigger::new());
    tokio::spawn(server.serve(trigger.subscribe(), |req, _peer| async move {
        if req.uri().path() == "/large" {
            return text_reply(StatusCode::OK, Bytes::from(vec![b'x'; LARGE_BYTES]));
        }
        match req.into_body().read(MAX_BODY_BYTES, BODY_TIMEOUT).await {
            Ok(_body) => text_reply(StatusCode::OK, ""),
            Err(_error) => text_reply(StatusCode::PAYLOAD_TOO_LARGE, ""),
        }
    }));
    (address, trigger)
}

/// Reads the status of a response; none if there is no response.
async fn status(stream: &mut TcpStream) -> Option<u16> {
    let mut head = [0; 12];
    let read = tokio::time::timeout(TIMEOUT, stream.read_exact(&mut head));
    read.await.ok()?.ok()?;
    std::str::from_utf8(&head[9..]).ok()?.parse().ok()
}

#[tokio::test]
async fn the_refusal_of_a_body_reaches_a_client_that_is_still_sending() {
    let (address, _trigger) = start(HttpLimits::new()).await;
    let mut stream = TcpStream::connect(address).await.unwrap();
    let bytes = 4 * 1024 * 1024;
    let head = format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..bytes / 4_096 {
        stream.write_all(&[b'x'; 4_096]).await.unwrap();
    }
    assert_eq!(status(&mut stream).await, Some(413));
}

#[tokio::test]
async fn silent_connections_do_not_keep_others_from_being_served() {
    let (address, _trigger) = start(HttpLimits::new().with_max_connections(4)).await;
    let mut silent = Vec::new();
    for _ in 0..8 {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    assert_eq!(status(&mut stream).await, Some(200));
    assert_eq!(silent[0].read(&mut [0; 1]).await.unwrap_or_default(), 0);
}

#[tokio::test]
async fn unread_responses_do_not_keep_others_from_being_served() {
    let (address, _trigger) = start(HttpLimits::new().with_max_connections(2)).await;
    let mut unread = Vec::new();
    for _ in 0..2 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream
            .write_all(b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        assert_eq!(status(&mut stream).await, Some(200));
        unread.push(stream);
    }
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(REQUEST).await.unwrap();
    assert_eq!(status(&mut stream).await, Some(200));
}
