//! Pace of a wave of upkeep.

use std::time::Duration;

/// Time to drain a host before its upkeep.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Margin for delays: a wave should be complete this long before its end.
const RESERVE: Duration = Duration::from_secs(4);

/// Returns how many hosts of a wave may be draining or in upkeep at the same time.
///
/// This is the lowest number that completes the wave in time, so that as much capacity as possible
/// stays in use, and at most the operator's `cap`.
pub fn hosts_at_once(remaining: usize, time_left: Duration, upkeep: Duration, cap: u32) -> usize {
    let each = (DRAIN_TIME + upkeep).as_secs_f64();
    let time = time_left.saturating_sub(RESERVE).as_secs_f64().max(each);
    let batches = (time / each).floor().max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a number of hosts"
    )]
    let at_once = (remaining as f64 / batches).ceil() as usize;
    at_once.clamp(1, (cap as usize).max(1))
}
