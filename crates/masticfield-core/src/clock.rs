//! A clock that never jumps and counts the time of a suspended machine.
//!
//! A lease must run out while its holder's machine is suspended. The monotonic clock of the
//! standard library may stand still then.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Time since the machine started, including time for which it was suspended.
pub fn boot_now() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
