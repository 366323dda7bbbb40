//! Bounds on what a caller may send, and on how long it may take.

mod support;

use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use rstest::rstest;
use support::{
    Control, Upstream, address, announce, announcement, fresh_key, start_entry, until_answered,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const FLAGS: [&str; 3] = [
    "--header-timeout=1s",
    "--body-timeout=1s",
    "--max-header-bytes=8192",
];

async fn start(more: &[&str]) -> (RunningEntry, Upstream, Control) {
    let (control, upstream) = (Control::start().await, Upstream::start().await);
    let flags: Vec<_> = FLAGS.iter().chain(more).map(ToString::to_string).collect();
    let entry = start_entry(1, &control, &flags).await;
    let news = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    assert_eq!(announce(&entry, &news).await, 200);
    until_answered(&entry).await;
    (entry, upstream, control)
}

/// Sends bytes and reads what comes until the entry closes the connection.
async fn converse(entry: &RunningEntry, bytes: &str) -> String {
    let mut stream = TcpStream::connect(address(entry, "caller")).await.unwrap();
    stream.write_all(bytes.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    // A reset after the answer ends it as well.
    drop(stream.read_to_end(&mut answer).await);
    String::from_utf8(answer).unwrap()
}

fn head(headers: &str) -> String {
    let key = fresh_key();
    format!(
        "POST /shop/bounded HTTP/1.1\r\nhost: shop\r\nconnection: close\r\n\
         idempotency-key: {key}\r\n{headers}\r\n"
    )
}

#[rstest]
#[case::body_too_long("content-length: 1001\r\n", &"x".repeat(1_001), "400", "not-run")]
#[case::body_too_slow("content-length: 9\r\n", "half", "400", "not-run")]
#[case::deadline_no_number("masticfield-deadline-ms: soon\r\n", "", "400", "not-run")]
#[case::no_time_left("masticfield-deadline-ms: 0\r\n", "", "503", "not-run")]
#[tokio::test]
async fn a_request_over_a_bound_is_not_run(
    #[case] headers: &str,
    #[case] body: &str,
    #[case] status: &str,
    #[case] outcome: &str,
) {
    let (entry, upstream, _control) = start(&[]).await;
    let answer = converse(&entry, &(head(headers) + body)).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("masticfield-outcome: {outcome}")),
        "{answer}"
    );
    assert_eq!(upstream.runs("/bounded"), 0);
}

#[rstest]
#[case::head_too_large(&format!("x-long: {}\r\n", "x".repeat(10_000)))]
#[case::too_many_headers(&"x-many: 1\r\n".repeat(150))]
#[tokio::test]
async fn a_head_over_a_bound_is_refused(#[case] headers: &str) {
    let (entry, upstream, _control) = start(&[]).await;
    let answer = converse(&entry, &head(headers)).await;
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
    assert_eq!(upstream.runs("/bounded"), 0);
}

#[rstest]
#[case::half_a_head("GET /shop/bounded HTTP/1.1\r\nhost:")]
#[case::nothing("")]
#[tokio::test]
async fn a_silent_connection_is_closed(#[case] bytes: &str) {
    let (entry, upstream, _control) = start(&[]).await;
    let answer = converse(&entry, bytes).await;
    assert!(!answer.contains(" 200 "), "{answer}");
    assert_eq!(upstream.runs("/bounded"), 0);
}

#[tokio::test]
async fn an_idle_connection_is_closed_after_its_answer() {
    let (entry, _upstream, _control) = start(&[]).await;
    let answer = converse(&entry, "GET /shop/whole HTTP/1.1\r\nhost: shop\r\n\r\n").await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}
