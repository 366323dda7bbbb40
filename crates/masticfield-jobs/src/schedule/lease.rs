//! Leases that are measured by executors' clocks.

use std::time::Duration;

/// Minimum rate of an executor's clock; the platform guarantees at most 2% drift.
const SLOWEST_CLOCK: f64 = 0.98;

/// Margin after which a lease is treated as expired; covers rounding on both sides.
const LAPSE_MARGIN: Duration = Duration::from_millis(60);

/// A reading of an executor's clock, and when it was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The executor's clock, in milliseconds.
    pub clock_ms: u64,
    /// Local monotonic time at which the reading was received.
    pub received: Duration,
}

impl ClockReading {
    /// Returns the lowest value that the executor's clock can show now.
    pub fn lower_bound(self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.received).mul_f64(SLOWEST_CLOCK);
        self.clock_ms.saturating_add(millis(elapsed))
    }

    /// Returns what the executor's clock shows now if it runs at the rate of the local clock.
    pub fn estimate(self, now: Duration) -> u64 {
        let elapsed = now.saturating_sub(self.received);
        self.clock_ms.saturating_add(millis(elapsed))
    }

    /// Returns whether a lease until `deadline_ms` of the executor's clock has certainly expired.
    pub fn is_past(self, deadline_ms: u64, now: Duration) -> bool {
        self.lower_bound(now.saturating_sub(LAPSE_MARGIN)) > deadline_ms
    }
}

/// Returns the local time at which a lease of `length` that was granted no later than `granted`
/// has certainly expired.
pub fn lease_end(granted: Duration, length: Duration) -> Duration {
    granted + length.div_f64(SLOWEST_CLOCK) + LAPSE_MARGIN
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
