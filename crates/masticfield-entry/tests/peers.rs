//! Leaving upstreams, failed zones, network partitions and stopping entries.

mod support;

use std::time::{Duration, Instant};

use masticfield_core::membership::UpstreamState;
use masticfield_entry::RunningEntry;
use rstest::rstest;
use support::relay::Relay;
use support::{
    FakeControl, FakeUpstream, address, announce, announcement, get, start_entry, wait_until,
    wait_until_serving,
};

/// Starts two entries that know each other.
async fn start_two(control: &FakeControl, flags: &[String]) -> (RunningEntry, RunningEntry) {
    let one = start_entry(1, control, flags).await;
    let mut args = flags.to_vec();
    args.push(format!("--peers={}", address(&one, "peer")));
    (one, start_entry(2, control, &args).await)
}

#[tokio::test]
async fn a_leaving_upstream_gets_no_new_requests_through_any_entry() {
    let (control, upstream) = (FakeControl::start().await, FakeUpstream::start().await);
    let (one, two) = start_two(&control, &[]).await;
    let mut announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    announce(&one, &announced).await;
    wait_until_serving(&two).await;
    announced.state = UpstreamState::Leaving;
    assert_eq!(announce(&two, &announced).await, 200);
    wait_until(async || get(&one, "/whole").await.outcome() == "not-run").await;
    let runs = upstream.runs("/whole");
    for entry in [&one, &two] {
        let response = get(entry, "/whole").await;
        assert_eq!(response.reason(), "no-upstream");
        announced.state = UpstreamState::Serving;
        assert_eq!(
            announce(entry, &announced).await,
            409,
            "an incarnation that left was accepted again"
        );
    }
    assert_eq!(upstream.runs("/whole"), runs);
}

#[tokio::test]
async fn requests_go_to_another_zone_when_all_upstreams_of_a_zone_are_gone() {
    let control = FakeControl::start().await;
    let (near, far) = (FakeUpstream::start().await, FakeUpstream::start().await);
    let entry = start_entry(1, &control, &["--upstream-ttl=3s".to_owned()]).await;
    let near_announced = announcement("near", "zone-1", near.address, UpstreamState::Serving);
    let far_announced = announcement("far", "zone-2", far.address, UpstreamState::Serving);
    announce(&entry, &near_announced).await;
    wait_until(async || {
        get(&entry, "/whole").await.outcome() == "answered" && near.runs("/whole") > 0
    })
    .await;
    wait_until(async || {
        announce(&entry, &far_announced).await;
        let runs = far.runs("/whole");
        get(&entry, "/whole").await.outcome() == "answered" && far.runs("/whole") > runs
    })
    .await;
    let runs = near.runs("/whole");
    assert_eq!(get(&entry, "/whole").await.outcome(), "answered");
    assert_eq!(near.runs("/whole"), runs);
}

#[rstest]
#[case::partitioned_then_healed(true)]
#[case::never_partitioned(false)]
#[tokio::test]
async fn two_entries_agree_again_after_a_partition(#[case] partition: bool) {
    let (control, upstream) = (FakeControl::start().await, FakeUpstream::start().await);
    let (to_one, to_two) = (Relay::bind().await, Relay::bind().await);
    let args = |relay: &Relay| {
        let ttl = "--upstream-ttl=3s".to_owned();
        vec![ttl, format!("--peer-advertise={}", relay.address)]
    };
    let one = start_entry(1, &control, &args(&to_one)).await;
    let mut args_of_two = args(&to_two);
    args_of_two.push(format!("--peers={}", to_one.address));
    let two = start_entry(2, &control, &args_of_two).await;
    to_one.forward_to(address(&one, "peer"));
    to_two.forward_to(address(&two, "peer"));
    let announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    let outcome_at_two = async || {
        announce(&one, &announced).await;
        get(&two, "/whole").await.outcome().to_owned()
    };
    wait_until(async || outcome_at_two().await == "answered").await;
    if partition {
        for relay in [&to_one, &to_two] {
            relay.set_partitioned(true);
        }
        wait_until(async || outcome_at_two().await == "not-run").await;
        for relay in [&to_one, &to_two] {
            relay.set_partitioned(false);
        }
    }
    wait_until(async || outcome_at_two().await == "answered").await;
}

#[tokio::test]
async fn a_stopping_entry_notifies_its_peers_and_finishes_its_requests() {
    let (control, upstream) = (FakeControl::start().await, FakeUpstream::start().await);
    let mut args = vec!["--entry-count=3".to_owned()];
    let (one, two) = start_two(&control, &args).await;
    args.push(format!("--peers={}", address(&one, "peer")));
    let three = start_entry(3, &control, &args).await;
    let announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    announce(&one, &announced).await;
    for entry in [&one, &two, &three] {
        wait_until_serving(entry).await;
    }
    let (trigger, caller_address) = (one.trigger(), address(&one, "caller"));
    let in_flight = tokio::spawn(async move {
        support::try_request(caller_address, http::Method::GET, "/slow", &[]).await
    });
    wait_until(async || upstream.runs("/slow") == 1).await;
    trigger.shut_down();
    let stop_begun = Instant::now();
    let stopped = tokio::spawn(one.wait());
    // Another entry takes over as home of the slots, so that requests are answered throughout.
    while !stopped.is_finished() {
        assert_eq!(get(&two, "/whole").await.outcome(), "answered");
    }
    println!(
        "stopped after {} ms, with a request of 700 ms in flight",
        stop_begun.elapsed().as_millis()
    );
    let response = in_flight
        .await
        .unwrap()
        .expect("the request in flight was cut");
    assert_eq!(response.outcome(), "answered");
    // Upstreams that announced themselves to the stopped entry stay usable until they announce
    // themselves to another one.
    assert_eq!(get(&two, "/whole").await.outcome(), "answered");
    assert_eq!(announce(&two, &announced).await, 200);
    tokio::time::sleep(Duration::from_secs(7)).await;
    assert_eq!(get(&two, "/whole").await.outcome(), "answered");
}
