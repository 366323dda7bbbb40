//! Resends through other entries, after lost verdicts and after an entry is killed.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use support::{
    Control, Upstream, address, announce, announcement, fresh_key, post, start_entry, try_ask,
    until, until_answered,
};

/// Two entries that know each other and one upstream.
async fn start() -> (RunningEntry, RunningEntry, Upstream, Control) {
    let (control, upstream) = (Control::start().await, Upstream::start().await);
    let one = start_entry(1, &control, &[]).await;
    let peers = format!("--peers={}", address(&one, "peer"));
    let two = start_entry(2, &control, &[peers]).await;
    let news = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    assert_eq!(announce(&one, &news).await, 200);
    until_answered(&one).await;
    until_answered(&two).await;
    (one, two, upstream, control)
}

#[tokio::test]
async fn a_resend_through_another_entry_gets_the_first_answer() {
    let (one, two, upstream, _control) = start().await;
    let key = fresh_key();
    let first = post(&one, "/order", &key).await;
    assert_eq!(first.outcome(), "answered");
    let again = post(&two, "/order", &key).await;
    assert_eq!((again.outcome(), &again.body), ("answered", &first.body));
    assert_eq!(upstream.runs("/order"), 1);
}

#[tokio::test]
async fn a_resend_waits_for_the_run_at_the_other_entry() {
    let (one, two, upstream, _control) = start().await;
    let key = fresh_key();
    let second = async {
        until(async || upstream.runs("/slow") == 1).await;
        post(&two, "/slow", &key).await
    };
    let (first, again) = tokio::join!(post(&one, "/slow", &key), second);
    assert_eq!((first.outcome(), again.outcome()), ("answered", "answered"));
    assert_eq!(upstream.runs("/slow"), 1);
}

#[tokio::test]
async fn a_key_used_for_another_request_is_refused() {
    let (one, two, upstream, _control) = start().await;
    let key = fresh_key();
    assert_eq!(post(&one, "/order", &key).await.outcome(), "answered");
    let other = post(&two, "/other", &key).await;
    assert_eq!((other.outcome(), other.status.as_u16()), ("not-run", 422));
    assert_eq!(upstream.runs("/other"), 0);
}

#[tokio::test]
async fn a_run_of_unknown_end_is_never_repeated() {
    let (one, two, upstream, _control) = start().await;
    let key = fresh_key();
    assert_eq!(post(&one, "/closed", &key).await.outcome(), "unknown");
    for entry in [&one, &two] {
        let again = post(entry, "/closed", &key).await;
        assert_eq!(
            (again.outcome(), again.reason().as_str()),
            ("unknown", "earlier-attempt")
        );
    }
    assert_eq!(upstream.runs("/closed"), 1);
}

#[tokio::test]
async fn a_lost_verdict_is_asked_for_again() {
    let (one, _two, upstream, control) = start().await;
    control.unanswered.store(1, Ordering::Relaxed);
    let answer = post(&one, "/order", &fresh_key()).await;
    assert_eq!(answer.outcome(), "answered");
    assert_eq!(upstream.runs("/order"), 1);
}

#[tokio::test]
async fn a_claim_that_cannot_be_made_is_not_run_and_frees_its_key() {
    let (one, two, upstream, control) = start().await;
    control.unanswered.store(usize::MAX, Ordering::Relaxed);
    let key = fresh_key();
    let refused = post(&one, "/order", &key).await;
    assert_eq!(
        (refused.outcome(), refused.reason().as_str()),
        ("not-run", "claim-unavailable")
    );
    assert_eq!(upstream.runs("/order"), 0);
    control.unanswered.store(0, Ordering::Relaxed);
    until(async || post(&two, "/order", &key).await.outcome() == "answered").await;
    assert_eq!(upstream.runs("/order"), 1);
}

/// The runtime of the first entry is dropped while its request runs, as if it were killed.
#[test]
fn an_entry_killed_in_mid_request_is_not_repeated_by_another() {
    let runtime = || tokio::runtime::Runtime::new().unwrap();
    let (doomed, rest) = (runtime(), runtime());
    let (control, upstream) =
        rest.block_on(async { (Control::start().await, Upstream::start().await) });
    let one = doomed.block_on(start_entry(1, &control, &[]));
    let (callers, peers) = (
        address(&one, "caller"),
        format!("--peers={}", address(&one, "peer")),
    );
    let two = rest.block_on(start_entry(2, &control, &[peers]));
    let news = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    rest.block_on(async {
        announce(&one, &news).await;
        announce(&two, &news).await;
        until_answered(&one).await;
        until_answered(&two).await;
    });
    let key = fresh_key();
    let sent = key.clone();
    let first = rest.spawn(async move {
        try_ask(
            callers,
            Method::POST,
            "/slow",
            &[("idempotency-key", &sent)],
        )
        .await
    });
    rest.block_on(until(async || upstream.runs("/slow") == 1));
    doomed.shutdown_background();
    assert!(
        rest.block_on(first).unwrap().is_none(),
        "the first entry is gone"
    );
    let again = rest.block_on(post(&two, "/slow", &key));
    assert_eq!(
        (again.outcome(), again.reason().as_str()),
        ("unknown", "earlier-attempt")
    );
    rest.block_on(async { tokio::time::sleep(Duration::from_secs(1)).await });
    assert_eq!(upstream.runs("/slow"), 1);
    drop(one);
}
