//! Limits of callers' requests in size and time.

mod support;

use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use rstest::rstest;
use support::{
    FakeControl, FakeUpstream, address, announce, announcement, fresh_key, start_entry,
    wait_until_serving,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Low limits, so that the tests exceed them quickly.
const FLAGS: [&str; 3] = [
    "--header-timeout=1s",
    "--body-timeout=1s",
    "--max-header-bytes=8192",
];

async fn start(flags: &[&str]) -> (RunningEntry, FakeUpstream, FakeControl) {
    let (control, upstream) = (FakeControl::start().await, FakeUpstream::start().await);
    let flags: Vec<_> = FLAGS.iter().chain(flags).map(ToString::to_string).collect();
    let entry = start_entry(1, &control, &flags).await;
    let announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    assert_eq!(announce(&entry, &announced).await, 200);
    wait_until_serving(&entry).await;
    (entry, upstream, control)
}

/// Sends raw bytes and returns all that the entry sends until it closes the connection.
async fn send_raw(entry: &RunningEntry, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address(entry, "caller")).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    // A reset of the connection after the response is no error here.
    drop(stream.read_to_end(&mut response).await);
    String::from_utf8(response).unwrap()
}

/// Returns the head of a request with the given header lines.
fn request_head(headers: &str) -> String {
    let key = fresh_key();
    format!(
        "POST /shop/bounded HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n\
         idempotency-key: {key}\r\n{headers}\r\n"
    )
}

#[rstest]
#[case::body_too_long("content-length: 1001\r\n", &"x".repeat(1_001), "400", "not-run")]
#[case::body_too_slow("content-length: 9\r\n", "half", "400", "not-run")]
#[case::deadline_not_a_number("masticfield-deadline-ms: soon\r\n", "", "400", "not-run")]
#[case::deadline_zero("masticfield-deadline-ms: 0\r\n", "", "503", "not-run")]
#[tokio::test]
async fn a_request_over_a_limit_is_not_run(
    #[case] headers: &str,
    #[case] body: &str,
    #[case] status: &str,
    #[case] outcome: &str,
) {
    let (entry, upstream, _control) = start(&[]).await;
    let response = send_raw(&entry, &(request_head(headers) + body)).await;
    assert!(
        response.starts_with(&format!("HTTP/1.1 {status} ")),
        "{response}"
    );
    assert!(
        response.contains(&format!("masticfield-outcome: {outcome}")),
        "{response}"
    );
    assert_eq!(upstream.runs("/bounded"), 0);
}

#[rstest]
#[case::head_too_large(&format!("x-long: {}\r\n", "x".repeat(10_000)))]
#[case::too_many_headers(&"x-many: 1\r\n".repeat(150))]
#[tokio::test]
async fn a_head_over_a_limit_is_refused(#[case] headers: &str) {
    let (entry, upstream, _control) = start(&[]).await;
    let response = send_raw(&entry, &request_head(headers)).await;
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    assert_eq!(upstream.runs("/bounded"), 0);
}

#[rstest]
#[case::incomplete_head("GET /shop/bounded HTTP/1.1\r\nhost:")]
#[case::no_bytes("")]
#[tokio::test]
async fn a_silent_connection_is_closed(#[case] bytes: &str) {
    let (entry, upstream, _control) = start(&[]).await;
    let response = send_raw(&entry, bytes).await;
    assert!(!response.contains(" 200 "), "{response}");
    assert_eq!(upstream.runs("/bounded"), 0);
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_response() {
    let (entry, _upstream, _control) = start(&[]).await;
    let response = send_raw(&entry, "GET /shop/whole HTTP/1.1\r\nhost: shop\r\n\r\n").await;
    assert!(response.starts_with("HTTP/1.1 200 "), "{response}");
}
