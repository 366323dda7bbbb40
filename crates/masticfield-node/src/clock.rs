//! Wall-clock time, for values that outlive a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time since the Unix epoch; zero if the clock is set to an earlier time.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Returns the milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}
