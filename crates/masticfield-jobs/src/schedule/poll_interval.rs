//! Poll interval of executors.

use std::time::Duration;

/// Poll answers that a replica can process each second besides its other work, on a third of a
/// core, if relays make the calls and return the answers in batches.
const POLLS_PER_S: f64 = 8_000.0;

/// Intervals below this are rounded to 0: few executors are busy, and each end is handled at once.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the time between an executor's answer and its next poll, for `busy` executors with
/// runs.
///
/// With thousands of busy executors, tasks end more often than a replica can handle polls. Spacing
/// the polls out lets one answer report several ends.
pub fn poll_interval(busy: usize) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a number of executors")]
    let interval = Duration::from_secs_f64(busy as f64 / POLLS_PER_S);
    if interval < MIN_INTERVAL {
        Duration::ZERO
    } else {
        interval
    }
}
