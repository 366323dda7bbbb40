//! Times of leases.

use std::time::Duration;

/// How long leases last, and how far clocks may drift apart meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Timing {
    /// How long an entry may serve after it sent the renewal that was granted.
    pub lease: Duration,
    /// How much longer the leader takes every lease to last.
    pub margin: Duration,
    /// Interval between the renewals of an entry.
    pub renew: Duration,
}

impl Timing {
    /// Time for which the leader takes a lease to last, from when it granted it.
    pub const fn bound(self) -> Duration {
        self.lease.saturating_add(self.margin)
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(6),
            margin: Duration::from_millis(500),
            renew: Duration::from_secs(1),
        }
    }
}
