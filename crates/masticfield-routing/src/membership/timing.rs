//! Intervals and times to live.

use std::time::Duration;

/// The intervals of the membership protocol.
///
/// The time to live of an upstream is spent in three parts: its holder keeps it for
/// [`hold`](Self::hold) after its last announcement, a peer trusts the holder's word for
/// [`vouch`](Self::vouch), and either notices at the next [`tick_interval`](Self::tick_interval).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    tick: Duration,
    beat: Duration,
    failure: Duration,
    announce: Duration,
    hold: Duration,
    vouch: Duration,
    forget: Duration,
}

impl Timing {
    /// The intervals that entries use unless they are told otherwise.
    pub const fn new() -> Self {
        Self {
            tick: Duration::from_millis(250),
            beat: Duration::from_millis(500),
            failure: Duration::from_secs(5),
            announce: Duration::from_secs(4),
            hold: Duration::from_millis(8_750),
            vouch: Duration::from_secs(6),
            forget: Duration::from_mins(10),
        }
    }

    /// Spreads another time to live over the interval of announcements and its parts.
    #[must_use]
    pub fn with_time_to_live(mut self, ttl: Duration) -> Self {
        let share = ttl.as_secs_f64() / self.time_to_live().as_secs_f64();
        self.announce = self.announce.mul_f64(share);
        self.vouch = self.vouch.mul_f64(share);
        self.hold = ttl.saturating_sub(self.vouch + self.tick);
        self
    }

    /// Sets how long a silent peer is remembered.
    #[must_use]
    pub const fn forgetting(mut self, forget: Duration) -> Self {
        self.forget = forget;
        self
    }

    /// Interval between two [`Input::Tick`](super::Input::Tick)s, and between two sendings of
    /// what has not been acknowledged.
    pub const fn tick_interval(self) -> Duration {
        self.tick
    }

    /// Interval between two heartbeats.
    pub const fn beat(self) -> Duration {
        self.beat
    }

    /// Silence after which a peer is suspected to have failed.
    pub const fn failure(self) -> Duration {
        self.failure
    }

    /// Interval at which an upstream announces itself.
    pub const fn announce(self) -> Duration {
        self.announce
    }

    /// How long a holder keeps an upstream that does not announce itself again.
    pub const fn hold(self) -> Duration {
        self.hold
    }

    /// How long a peer trusts the word of a holder.
    pub const fn vouch(self) -> Duration {
        self.vouch
    }

    /// How long a silent peer, and the version of an upstream that has gone, are remembered.
    pub const fn forget(self) -> Duration {
        self.forget
    }

    /// Time after its last announcement within which no entry sends new work to an upstream.
    pub fn time_to_live(self) -> Duration {
        self.hold + self.vouch + self.tick
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new()
    }
}
