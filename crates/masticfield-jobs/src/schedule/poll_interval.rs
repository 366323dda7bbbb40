//! How often executors are asked.

use std::time::Duration;

/// Answers of executors that a replica takes in each second beside its other work, on a third of a
/// core.
const LOOKS_PER_S: f64 = 2_000.0;

/// Gaps below this are none: few executors are busy, and each end is taken in at once.
const SHORTEST_GAP: Duration = Duration::from_millis(50);

/// Time between an answer of an executor and the next question to it.
///
/// With hundreds of busy executors, tasks end more often than a replica can ask; after a gap one
/// answer brings several ends.
pub fn poll_interval(busy: usize) -> Duration {
    #[expect(clippy::cast_precision_loss, reason = "a number of executors")]
    let gap = Duration::from_secs_f64(busy as f64 / LOOKS_PER_S);
    if gap < SHORTEST_GAP {
        Duration::ZERO
    } else {
        gap
    }
}
