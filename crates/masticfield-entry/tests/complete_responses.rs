//! Late, crossed, truncated and over-long responses never reach a caller as complete ones.

mod support;

use std::time::Duration;

use http::Method;
use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use rstest::rstest;
use support::{
    FakeControl, FakeUpstream, announce, announcement, fresh_key, get, post, request, start_entry,
    wait_until, wait_until_serving,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn start() -> (RunningEntry, FakeUpstream, FakeControl) {
    let (control, upstream) = (FakeControl::start().await, FakeUpstream::start().await);
    let entry = start_entry(1, &control, &[]).await;
    let announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    assert_eq!(announce(&entry, &announced).await, 200);
    wait_until_serving(&entry).await;
    (entry, upstream, control)
}

#[rstest]
#[case::no_response("/hang", "timed-out")]
#[case::late("/late", "timed-out")]
#[case::connection_closed("/closed", "connection-lost")]
#[case::response_to_another_request("/crossed", "crossed-answer")]
#[case::no_request_id("/no-request-id", "crossed-answer")]
#[case::truncated_body("/torn", "torn-answer")]
#[case::truncated_chunk("/torn-chunk", "torn-answer")]
#[case::no_length("/no-length", "torn-answer")]
#[case::body_too_long("/overlong", "overlong-answer")]
#[case::head_too_long("/long-head", "connection-lost")]
#[tokio::test]
async fn an_incomplete_or_crossed_response_makes_the_outcome_unknown(
    #[case] path: &str,
    #[case] reason: &str,
) {
    let (entry, _upstream, _control) = start().await;
    let response = post(&entry, path, &fresh_key()).await;
    assert_eq!(
        (response.outcome(), response.reason().as_str()),
        ("unknown", reason)
    );
    let next = get(&entry, "/whole").await;
    assert_eq!((next.outcome(), &*next.body), ("answered", &b"done"[..]));
}

#[tokio::test]
async fn a_response_sent_twice_reaches_no_other_caller() {
    let (entry, _upstream, _control) = start().await;
    for _ in 0..20 {
        let twice = get(&entry, "/twice").await;
        assert_eq!((twice.outcome(), &*twice.body), ("answered", &b"done"[..]));
        let next = get(&entry, "/whole").await;
        // The second copy may arrive as the next response, but must not be passed on as such.
        let own_response = next.outcome() == "answered" && &*next.body == b"done";
        assert!(own_response || next.outcome() == "unknown");
    }
}

#[tokio::test]
async fn a_refusal_by_the_upstream_frees_the_key() {
    let (entry, upstream, _control) = start().await;
    let key = fresh_key();
    let refused = post(&entry, "/refused", &key).await;
    assert_eq!(
        (refused.outcome(), refused.status.as_u16()),
        ("not-run", 503)
    );
    assert!(refused.headers.contains_key("retry-after"));
    assert_eq!(post(&entry, "/whole", &key).await.outcome(), "answered");
    assert_eq!(upstream.runs("/refused"), 0);
}

#[tokio::test]
async fn a_disconnected_caller_leaves_no_slot_occupied() {
    let (entry, upstream, _control) = start().await;
    for number in 0..8 {
        let caller_address = support::address(&entry, "caller");
        let mut stream = TcpStream::connect(caller_address).await.unwrap();
        let request = "GET /shop/slow HTTP/1.1\r\nhost: shop\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        wait_until(async || upstream.runs("/slow") > number).await;
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let response = get(&entry, "/whole").await;
    assert_eq!(response.outcome(), "answered");
}

#[tokio::test]
async fn a_claimed_request_runs_to_its_end_when_its_caller_disconnects() {
    let (entry, upstream, _control) = start().await;
    let key = fresh_key();
    let mut stream = TcpStream::connect(support::address(&entry, "caller"))
        .await
        .unwrap();
    let request = format!(
        "POST /shop/slow HTTP/1.1\r\nhost: shop\r\nidempotency-key: {key}\r\ncontent-length: 5\r\n\r\norder"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    wait_until(async || upstream.runs("/slow") == 1).await;
    drop(stream);
    let resent = post(&entry, "/slow", &key).await;
    assert_eq!(
        (resent.outcome(), &*resent.body),
        ("answered", &b"done"[..])
    );
    assert_eq!(upstream.runs("/slow"), 1);
}

#[rstest]
#[case::no_key(&[], 400, "key-missing")]
#[case::no_timestamp(&[("idempotency-key", "cut-17")], 400, "key-missing")]
#[case::expired_key(&[("idempotency-key", "1600000000-cut-17")], 409, "key-expired")]
#[tokio::test]
async fn a_request_without_a_valid_key_is_not_run(
    #[case] headers: &[(&'static str, &str)],
    #[case] status: u16,
    #[case] reason: &str,
) {
    let (entry, upstream, _control) = start().await;
    let response = request(&entry, Method::POST, "/whole-post", headers).await;
    assert_eq!(
        (response.outcome(), response.status.as_u16()),
        ("not-run", status)
    );
    assert_eq!(response.reason(), reason);
    assert_eq!(upstream.runs("/whole-post"), 0);
}
