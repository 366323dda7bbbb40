//! How many hosts of a wave are taken at a time.

use std::time::Duration;

/// Time that a host takes to become empty, beside its upkeep.
const EMPTYING: Duration = Duration::from_millis(2_500);

/// Time by which a wave ends early, for what does not go as reckoned.
const RESERVE: Duration = Duration::from_secs(4);

/// Hosts of a wave that are emptied or in upkeep at the same time.
///
/// As few as end the wave in time, so that as much capacity as possible stays in use, and never
/// more than the operator allows.
pub fn hosts_at_once(left: usize, time_left: Duration, upkeep: Duration, cap: u32) -> usize {
    let each = (EMPTYING + upkeep).as_secs_f64();
    let time = time_left.saturating_sub(RESERVE).as_secs_f64().max(each);
    let rounds = (time / each).floor().max(1.0);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a number of hosts"
    )]
    let at_once = (left as f64 / rounds).ceil() as usize;
    at_once.clamp(1, (cap as usize).max(1))
}
