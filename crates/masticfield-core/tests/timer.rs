//! The timer service, tested with a paused clock.

use std::time::Duration;

use masticfield_core::timer::Timer;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn periodic_ticks_are_numbered_and_on_time() {
    let timer = Timer::spawn();
    let start = Instant::now();
    let mut ticks = timer.every(Duration::from_secs(2));
    for number in 1..=3 {
        assert_eq!(ticks.recv().await.unwrap().number(), number);
    }
    assert_eq!(start.elapsed().as_secs(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_one_shot_subscription_ends_after_its_tick() {
    let timer = Timer::spawn();
    let mut tick = timer.after(Duration::from_secs(1));
    assert!(tick.recv().await.is_some());
    assert!(tick.recv().await.is_none());
}
