//! An entry that stands still while an upstream leaves.

mod support;

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use http::Method;
use masticfield_core::membership::UpstreamState;
use support::{
    Control, Upstream, address, announce, announcement, start_entry, try_ask, until, until_answered,
};
use tokio::runtime::{Builder, Handle, Runtime};

/// How long the entry stands still; longer than it may use a leaving upstream.
const STANDSTILL: Duration = Duration::from_secs(4);

/// A runtime of one thread, all of which stands still when one task blocks.
fn single_thread() -> Handle {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        tx.send(runtime.handle().clone()).unwrap();
        runtime.block_on(std::future::pending::<()>());
    });
    rx.recv().unwrap()
}

#[test]
fn an_entry_that_stood_still_sends_nothing_to_what_left_meanwhile() {
    let (frozen, rest) = (single_thread(), Runtime::new().unwrap());
    let (control, upstream) =
        rest.block_on(async { (Control::start().await, Upstream::start().await) });
    let control = std::sync::Arc::new(control);
    let for_one = std::sync::Arc::clone(&control);
    let started = frozen.spawn(async move { start_entry(1, &for_one, &[]).await });
    let one = rest.block_on(started).unwrap();
    let peers = format!("--peers={}", address(&one, "peer"));
    let two = rest.block_on(start_entry(2, &control, &[peers]));
    let mut news = announcement("u1", "zone-1", upstream.address, UpstreamState::Serving);
    rest.block_on(async {
        announce(&one, &news).await;
        until_answered(&one).await;
        until_answered(&two).await;
    });
    frozen.spawn(async { thread::sleep(STANDSTILL) });
    news.state = UpstreamState::Leaving;
    let callers = address(&one, "caller");
    let before = rest.block_on(async {
        until(async || announce(&two, &news).await == 200).await;
        tokio::time::sleep(Duration::from_secs(3)).await;
        upstream.runs("/whole")
    });
    let asked: Vec<_> = (0..8)
        .map(|_| rest.spawn(try_ask(callers, Method::GET, "/whole", &[])))
        .collect();
    for answer in asked {
        let answer = rest.block_on(answer).unwrap().expect("the entry goes on");
        assert_eq!(answer.outcome(), "not-run");
    }
    assert_eq!(upstream.runs("/whole"), before);
}
