//! Answers that are late, crossed, torn or over-long never reach a caller as complete.

mod support;

use std::time::Duration;

use http::Method;
use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use rstest::rstest;
use support::{
    Control, Upstream, announce, announcement, ask, fresh_key, get, post, start_entry, until,
    until_answered,
};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn start() -> (RunningEntry, Upstream, Control) {
    let (control, upstream) = (Control::start().await, Upstream::start().await);
    let entry = start_entry(1, &control, &[]).await;
    let news = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    assert_eq!(announce(&entry, &news).await, 200);
    until_answered(&entry).await;
    (entry, upstream, control)
}

#[rstest]
#[case::freezes("/freeze", "timed-out")]
#[case::late("/late", "timed-out")]
#[case::reset("/closed", "connection-lost")]
#[case::crossed("/crossed", "crossed-answer")]
#[case::without_the_request("/nameless", "crossed-answer")]
#[case::torn("/torn", "torn-answer")]
#[case::torn_in_a_chunk("/torn-chunk", "torn-answer")]
#[case::of_no_length("/no-length", "torn-answer")]
#[case::over_long("/overlong", "overlong-answer")]
#[case::head_over_long("/long-head", "connection-lost")]
#[tokio::test]
async fn an_answer_that_is_not_whole_is_unknown(#[case] path: &str, #[case] reason: &str) {
    let (entry, _upstream, _control) = start().await;
    let answer = post(&entry, path, &fresh_key()).await;
    assert_eq!(
        (answer.outcome(), answer.reason().as_str()),
        ("unknown", reason)
    );
    let next = get(&entry, "/whole").await;
    assert_eq!((next.outcome(), &*next.body), ("answered", &b"done"[..]));
}

#[tokio::test]
async fn an_answer_sent_twice_reaches_no_other_caller() {
    let (entry, _upstream, _control) = start().await;
    for _ in 0..20 {
        let twice = get(&entry, "/twice").await;
        assert_eq!((twice.outcome(), &*twice.body), ("answered", &b"done"[..]));
        let next = get(&entry, "/whole").await;
        // The second copy may be taken for the next answer, but never passed on as such.
        let whole = next.outcome() == "answered" && &*next.body == b"done";
        assert!(whole || next.outcome() == "unknown");
    }
}

#[tokio::test]
async fn a_proof_of_not_run_frees_the_key() {
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
async fn a_caller_that_vanishes_leaves_no_slot_behind() {
    let (entry, upstream, _control) = start().await;
    for number in 0..8 {
        let caller = support::address(&entry, "caller");
        let mut stream = TcpStream::connect(caller).await.unwrap();
        let request = "GET /shop/slow HTTP/1.1\r\nhost: shop\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        until(async || upstream.runs("/slow") > number).await;
    }
    tokio::time::sleep(Duration::from_millis(800)).await;
    let answer = get(&entry, "/whole").await;
    assert_eq!(answer.outcome(), "answered");
}

#[tokio::test]
async fn a_claimed_request_runs_to_its_end_when_its_caller_vanishes() {
    let (entry, upstream, _control) = start().await;
    let key = fresh_key();
    let mut stream = TcpStream::connect(support::address(&entry, "caller"))
        .await
        .unwrap();
    let request = format!(
        "POST /shop/slow HTTP/1.1\r\nhost: shop\r\nidempotency-key: {key}\r\ncontent-length: 5\r\n\r\norder"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    until(async || upstream.runs("/slow") == 1).await;
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
#[case::no_time(&[("idempotency-key", "cut-17")], 400, "key-missing")]
#[case::too_old(&[("idempotency-key", "1600000000-cut-17")], 409, "key-expired")]
#[tokio::test]
async fn a_request_without_a_usable_key_is_not_run(
    #[case] headers: &[(&'static str, &str)],
    #[case] status: u16,
    #[case] reason: &str,
) {
    let (entry, upstream, _control) = start().await;
    let answer = ask(&entry, Method::POST, "/whole-post", headers).await;
    assert_eq!(
        (answer.outcome(), answer.status.as_u16()),
        ("not-run", status)
    );
    assert_eq!(answer.reason(), reason);
    assert_eq!(upstream.runs("/whole-post"), 0);
}
