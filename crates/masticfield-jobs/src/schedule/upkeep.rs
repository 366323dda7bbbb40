//! Pace of a wave of upkeep.

use std::time::Duration;

/// Time to drain a host before its upkeep if nothing holds it up.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time for a long-running task that was stopped to serve again on another host. Until then, the
/// next task of its step may not be stopped.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Margin for delays: a wave should be complete this long before its end.
const RESERVE: Duration = Duration::from_secs(4);

/// Returns how many hosts of a wave may be draining or in upkeep at the same time.
///
/// `unfinished` is the number of hosts whose upkeep is not over, including those in upkeep.
/// This is the lowest number that completes the wave in time, so that as much capacity as possible
/// stays in use, and at most the operator's `cap`.
pub fn hosts_at_once(unfinished: usize, time_left: Duration, upkeep: Duration, cap: u32) -> usize {
    let each = (DRAIN_TIME + upkeep).as_secs_f64();
    let time = time_left.saturating_sub(RESERVE).as_secs_f64().max(each);
    let batches = (time / each).floor().max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a number of hosts"
    )]
    let at_once = (unfinished as f64 / batches).ceil() as usize;
    at_once.clamp(1, (cap as usize).max(1))
}

/// Returns whether the drain of a host should begin before that of hosts with less load.
///
/// `turns` is how many times a long-running step with tasks on the host has to wait until stopped
/// tasks serve again, over all remaining hosts of the wave. Draining more hosts at once does not make
/// these turns faster, so that they begin early, or hosts are left at the end of the wave.
pub fn is_urgent(turns: u32, time_left: Duration, upkeep: Duration) -> bool {
    time_left < RESTART_TIME * turns * 2 + upkeep + RESERVE
}
