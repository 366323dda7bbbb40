//! Times of leases.

use std::time::Duration;

/// How long leases last, and how far clocks may drift apart meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// How long an entry may serve after it sent the renewal that was granted.
    pub lease: Duration,
    /// How much longer the leader takes every lease to last.
    pub clock_margin: Duration,
    /// Interval between the renewals of an entry.
    pub renewal_interval: Duration,
}

impl LeaseTiming {
    /// Time for which the leader takes a lease to last, from when it granted it.
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
