//! Leases by the executors' own clocks.

use std::time::Duration;

/// Share of true time that an executor's clock counts at least; the platform allows 2% less.
const SLOWEST_CLOCK: f64 = 0.98;

/// Time by which a lease is taken for longer than reckoned, for rounding on both sides.
const LAPSE_MARGIN: Duration = Duration::from_millis(60);

/// What an executor's clock showed, and when that was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// When it was heard, by the own clock.
    pub received: Duration,
}

impl ClockReading {
    /// What the clock shows now at least.
    pub fn lower_bound(self, now: Duration) -> u64 {
        let since = now.saturating_sub(self.received).mul_f64(SLOWEST_CLOCK);
        self.clock_ms + millis(since)
    }

    /// What the clock shows now if it runs as the own one.
    pub fn estimate(self, now: Duration) -> u64 {
        self.clock_ms + millis(now.saturating_sub(self.received))
    }

    /// Whether a lease until `deadline_ms` of that clock has run out for certain.
    pub fn is_past(self, deadline_ms: u64, now: Duration) -> bool {
        self.lower_bound(now.saturating_sub(LAPSE_MARGIN)) > deadline_ms
    }
}

/// When a lease of `length` has run out for certain that was given before `given`.
pub fn lease_end(given: Duration, length: Duration) -> Duration {
    given + length.div_f64(SLOWEST_CLOCK) + LAPSE_MARGIN
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
