//! A monotonic clock that keeps running while the machine is suspended.
//!
//! Leases must expire while the machine of their holder is suspended, and the monotonic clock of
//! the standard library may stop during that time.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including time spent suspended.
pub fn boot_now() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(now.tv_nsec).unwrap_or_default();
    Duration::new(secs, nanos)
}
