//! The timer service on a paused clock.

use std::time::Duration;

use masticfield_core::timer::Timer;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn ticks_come_at_their_period() {
    let timer = Timer::spawn();
    let start = Instant::now();
    let mut ticks = timer.every(Duration::from_secs(2));
    for number in 1..=3 {
        assert_eq!(ticks.recv().await.unwrap().number(), number);
    }
    assert_eq!(start.elapsed().as_secs(), 6);
}

#[tokio::test(start_paused = true)]
async fn a_single_tick_ends_its_subscription() {
    let timer = Timer::spawn();
    let mut tick = timer.after(Duration::from_secs(1));
    assert!(tick.recv().await.is_some());
    assert!(tick.recv().await.is_none());
}
