//! Poll interval of executors.

use std::time::Duration;

/// Poll answers that a replica can process each second besides its other work, on a third of a
/// core.
const POLLS_PER_S: f64 = 2_000.0;

/// Intervals below this are rounded to 0: few executors are busy, and each end is handled at once.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the time between an executor's answer and its next poll, for `busy` executors with
/// runs.
///
/// With hundreds of busy executors, tasks end more often than a replica can poll. Spacing the polls
/// out lets one answer report several ends.
pub fn poll_interval(busy: usize) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a number of executors")]
    let interval = Duration::from_secs_f64(busy as f64 / POLLS_PER_S);
    if interval < MIN_INTERVAL {
        Duration::ZERO
    } else {
        interval
    }
}
