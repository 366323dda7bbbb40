//! Intervals and lifetimes of the membership protocol.

use std::time::Duration;

/// Intervals and lifetimes of the membership protocol.
///
/// The time to live of an upstream has three parts: its holder keeps it for
/// [`holder_ttl`](Self::holder_ttl) after its last announcement, a peer relies on the holder's
/// last confirmation for [`confirmation_ttl`](Self::confirmation_ttl), and either notices the
/// expiry at its next [tick](Self::tick_interval).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    tick_interval: Duration,
    heartbeat_interval: Duration,
    failure_timeout: Duration,
    announce_interval: Duration,
    holder_ttl: Duration,
    confirmation_ttl: Duration,
    forget_after: Duration,
}

impl Timing {
    /// The default intervals, with a time to live of 15 s.
    pub const fn new() -> Self {
        Self {
            tick_interval: Duration::from_millis(250),
            heartbeat_interval: Duration::from_millis(500),
            failure_timeout: Duration::from_secs(5),
            announce_interval: Duration::from_secs(4),
            holder_ttl: Duration::from_millis(8_750),
            confirmation_ttl: Duration::from_secs(6),
            forget_after: Duration::from_mins(10),
        }
    }

    /// Scales the announcement interval and the parts of the time to live to a total of `ttl`.
    #[must_use]
    pub fn with_time_to_live(mut self, ttl: Duration) -> Self {
        let factor = ttl.as_secs_f64() / self.time_to_live().as_secs_f64();
        self.announce_interval = self.announce_interval.mul_f64(factor);
        self.confirmation_ttl = self.confirmation_ttl.mul_f64(factor);
        self.holder_ttl = ttl.saturating_sub(self.confirmation_ttl + self.tick_interval);
        self
    }

    /// Sets how long a silent peer is remembered.
    #[must_use]
    pub const fn with_forget_after(mut self, forget_after: Duration) -> Self {
        self.forget_after = forget_after;
        self
    }

    /// Interval between two [`Input::Tick`](super::Input::Tick)s, after which unacknowledged
    /// messages are sent again.
    pub const fn tick_interval(self) -> Duration {
        self.tick_interval
    }

    /// Interval between two heartbeats to the same peer.
    pub const fn heartbeat_interval(self) -> Duration {
        self.heartbeat_interval
    }

    /// Time without a heartbeat after which a peer is suspected to have failed.
    pub const fn failure_timeout(self) -> Duration {
        self.failure_timeout
    }

    /// Interval at which an upstream is to announce itself.
    pub const fn announce_interval(self) -> Duration {
        self.announce_interval
    }

    /// How long a holder keeps an upstream after its last announcement.
    pub const fn holder_ttl(self) -> Duration {
        self.holder_ttl
    }

    /// How long a peer relies on a holder's confirmation.
    pub const fn confirmation_ttl(self) -> Duration {
        self.confirmation_ttl
    }

    /// How long silent peers, learned addresses and versions of removed upstreams are kept.
    pub const fn forget_after(self) -> Duration {
        self.forget_after
    }

    /// Time after an upstream's last announcement from which no entry sends new work to it.
    pub fn time_to_live(self) -> Duration {
        self.holder_ttl + self.confirmation_ttl + self.tick_interval
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new()
    }
}
