//! The time of day, for what outlives a process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the Unix epoch; zero if the clock is before it.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Milliseconds since the Unix epoch.
pub fn epoch_ms() -> u64 {
    u64::try_from(since_epoch().as_millis()).unwrap_or(u64::MAX)
}
