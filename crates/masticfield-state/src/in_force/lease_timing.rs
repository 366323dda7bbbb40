//! Durations of configuration leases.

use std::time::Duration;

/// Durations of leases and renewals, and the margin for clock drift.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time for which an entry may serve after it sent a renewal that was granted.
    pub lease: Duration,
    /// Margin that the leader adds to each lease for the drift between clocks.
    pub clock_margin: Duration,
    /// Interval between two renewals of an entry.
    pub renewal_interval: Duration,
}

impl LeaseTiming {
    /// Time after the grant at which the leader considers a lease expired.
    pub const fn upper_bound(self) -> Duration {
        self.lease.saturating_add(self.clock_margin)
    }
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            clock_margin: Duration::from_millis(500),
            renewal_interval: Duration::from_secs(1),
        }
    }
}
