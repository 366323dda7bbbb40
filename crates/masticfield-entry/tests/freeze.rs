//! An entry that is frozen while an upstream leaves must not send requests to it afterwards.

mod support;

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use http::Method;
use masticfield_core::membership::UpstreamState;
use support::{
    FakeControl, FakeUpstream, address, announce, announcement, start_entry, try_request,
    wait_until, wait_until_serving,
};
use tokio::runtime::{Builder, Handle, Runtime};

/// How long the entry is frozen; longer than it may use a leaving upstream.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Starts a runtime of one thread, all of whose tasks are frozen when one blocks.
fn single_threaded_runtime() -> Handle {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        tx.send(runtime.handle().clone()).unwrap();
        runtime.block_on(std::future::pending::<()>());
    });
    rx.recv().unwrap()
}

#[test]
fn a_frozen_entry_sends_nothing_to_an_upstream_that_left_meanwhile() {
    let (frozen, running) = (single_threaded_runtime(), Runtime::new().unwrap());
    let (control, upstream) =
        running.block_on(async { (FakeControl::start().await, FakeUpstream::start().await) });
    let control = std::sync::Arc::new(control);
    let control_of_one = std::sync::Arc::clone(&control);
    let started = frozen.spawn(async move { start_entry(1, &control_of_one, &[]).await });
    let one = running.block_on(started).unwrap();
    let peers = format!("--peers={}", address(&one, "peer"));
    let two = running.block_on(start_entry(2, &control, &[peers]));
    let mut announced = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    running.block_on(async {
        announce(&one, &announced).await;
        wait_until_serving(&one).await;
        wait_until_serving(&two).await;
    });
    frozen.spawn(async { thread::sleep(FREEZE_TIME) });
    announced.state = UpstreamState::Leaving;
    let caller_address = address(&one, "caller");
    let runs_before = running.block_on(async {
        wait_until(async || announce(&two, &announced).await == 200).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        upstream.runs("/whole")
    });
    let responses: Vec<_> = (0..8)
        .map(|_| running.spawn(try_request(caller_address, Method::GET, "/whole", &[])))
        .collect();
    for response in responses {
        let response = running
            .block_on(response)
            .unwrap()
            .expect("the entry did not respond");
        assert_eq!(response.outcome(), "not-run");
    }
    assert_eq!(upstream.runs("/whole"), runs_before);
}
