//! Requests with an idempotency key run at most once: resends through other entries, lost verdicts
//! of the control replicas, and a killed entry.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Method;
use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use support::{
    FakeControl, FakeUpstream, address, announce, announcement, fresh_key, post, start_entry,
    try_request, wait_until, wait_until_serving,
};

/// Starts two entries that know each other and the same upstream.
async fn start() -> (RunningEntry, RunningEntry, FakeUpstream, FakeControl) {
    let (control, upstream) = (FakeControl::start().await, FakeUpstream::start().await);
    let one = start_entry(1, &control, &[]).await;
    let peers = format!("--peers={}", address(&one, "peer"));
    let two = start_entry(2, &control, &[peers]).await;
    let announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    assert_eq!(announce(&one, &announced).await, 200);
    wait_until_serving(&one).await;
    wait_until_serving(&two).await;
    (one, two, upstream, control)
}

#[tokio::test]
async fn a_resend_through_another_entry_gets_the_stored_response() {
    let (one, two, upstream, _control) = start().await;
    let key = fresh_key();
    let first = post(&one, "/order", &key).await;
    assert_eq!(first.outcome(), "answered");
    let again = post(&two, "/order", &key).await;
    assert_eq!((again.outcome(), &again.body), ("answered", &first.body));
    assert_eq!(upstream.runs("/order"), 1);
}

#[tokio::test]
async fn a_resend_waits_for_the_request_in_progress_at_another_entry() {
    let (one, two, upstream, _control) = start().await;
    let key = fresh_key();
    let resend = async {
        wait_until(async || upstream.runs("/slow") == 1).await;
        post(&two, "/slow", &key).await
    };
    let (first, again) = tokio::join!(post(&one, "/slow", &key), resend);
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
async fn a_request_with_an_unknown_outcome_is_never_repeated() {
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
async fn a_claim_without_a_verdict_is_repeated() {
    let (one, _two, upstream, control) = start().await;
    control.lost_verdicts.store(1, Ordering::Relaxed);
    let response = post(&one, "/order", &fresh_key()).await;
    assert_eq!(response.outcome(), "answered");
    assert_eq!(upstream.runs("/order"), 1);
}

#[tokio::test]
async fn a_request_without_a_verdict_is_not_run_and_frees_its_key() {
    let (one, two, upstream, control) = start().await;
    control.lost_verdicts.store(usize::MAX, Ordering::Relaxed);
    let key = fresh_key();
    let refused = post(&one, "/order", &key).await;
    assert_eq!(
        (refused.outcome(), refused.reason().as_str()),
        ("not-run", "claim-unavailable")
    );
    assert_eq!(upstream.runs("/order"), 0);
    control.lost_verdicts.store(0, Ordering::Relaxed);
    wait_until(async || post(&two, "/order", &key).await.outcome() == "answered").await;
    assert_eq!(upstream.runs("/order"), 1);
}

/// Drops the runtime of the first entry while its request runs, as a kill of its process would.
///
/// Whether the request ran is unknown then, so the other entry must not send it again.
#[test]
fn a_request_of_a_killed_entry_is_not_repeated_by_another() {
    let runtime = || tokio::runtime::Runtime::new().unwrap();
    let (killed, surviving) = (runtime(), runtime());
    let (control, upstream) =
        surviving.block_on(async { (FakeControl::start().await, FakeUpstream::start().await) });
    let one = killed.block_on(start_entry(1, &control, &[]));
    let (caller_address, peers) = (
        address(&one, "caller"),
        format!("--peers={}", address(&one, "peer")),
    );
    let two = surviving.block_on(start_entry(2, &control, &[peers]));
    let announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    surviving.block_on(async {
        announce(&one, &announced).await;
        announce(&two, &announced).await;
        wait_until_serving(&one).await;
        wait_until_serving(&two).await;
    });
    let key = fresh_key();
    let first_key = key.clone();
    let first = surviving.spawn(async move {
        try_request(
            caller_address,
            Method::POST,
            "/slow",
            &[("idempotency-key", &first_key)],
        )
        .await
    });
    surviving.block_on(wait_until(async || upstream.runs("/slow") == 1));
    killed.shutdown_background();
    assert!(
        surviving.block_on(first).unwrap().is_none(),
        "the killed entry responded"
    );
    let again = surviving.block_on(post(&two, "/slow", &key));
    assert_eq!(
        (again.outcome(), again.reason().as_str()),
        ("unknown", "earlier-attempt")
    );
    surviving.block_on(async { tokio::time::sleep(Duration::from_secs(1)).await });
    assert_eq!(upstream.runs("/slow"), 1);
    drop(one);
}
