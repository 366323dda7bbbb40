//! Fair shares of the callers of one service.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time in which the weight of a past request halves.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight below which a caller is no longer active.
const MIN_WEIGHT: f64 = 0.05;
/// Interval between two removals of inactive callers.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Factor by which a caller may exceed the average.
const TOLERANCE: f64 = 1.1;

/// A counter whose value decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCounter {
    value: f64,
    updated: Duration,
}

impl DecayingCounter {
    fn value(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated).div_duration_f64(HALF_LIFE);
        self.value * (-age).exp2()
    }

    fn increment(&mut self, now: Duration) {
        self.value = self.value(now) + 1.0;
        self.updated = now;
    }
}

/// Recently admitted requests of each caller of one service.
#[derive(Debug, Clone, Default)]
pub struct CallerShares {
    callers: HashMap<Arc<str>, DecayingCounter>,
    total: DecayingCounter,
    pruned: Duration,
}

impl CallerShares {
    /// Creates the shares of a service without callers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an admitted request.
    pub fn record(&mut self, now: Duration, caller: &Arc<str>) {
        self.callers
            .entry(Arc::clone(caller))
            .or_default()
            .increment(now);
        self.total.increment(now);
        if now >= self.pruned + PRUNE_INTERVAL {
            self.callers
                .retain(|_, counter| counter.value(now) >= MIN_WEIGHT);
            self.pruned = now;
        }
    }

    /// Whether a caller clearly exceeds the average of the active callers.
    pub fn is_exceeded(&self, now: Duration, caller: &str) -> bool {
        let recent = self
            .callers
            .get(caller)
            .map_or(0.0, |counter| counter.value(now));
        let active = u32::try_from(self.callers.len().max(1)).unwrap_or(u32::MAX);
        let average = self.total.value(now) / f64::from(active);
        recent > (average * TOLERANCE).max(1.0)
    }
}
