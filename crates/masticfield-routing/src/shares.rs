//! What each caller has had of a service of late.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Time in which a caller's past requests come to count half.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Amount below which a caller no longer counts as active.
const LEAST: f64 = 0.05;
/// Interval between two removals of inactive callers.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// How much more than the average a caller may have.
const ALLOWANCE: f64 = 1.1;

/// A count that halves with time.
#[derive(Debug, Clone, Copy, Default)]
struct Decaying {
    amount: f64,
    at: Duration,
}

impl Decaying {
    fn amount(self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).div_duration_f64(HALF_LIFE);
        self.amount * (-age).exp2()
    }

    fn add(&mut self, now: Duration) {
        self.amount = self.amount(now) + 1.0;
        self.at = now;
    }
}

/// What each caller has had of a service of late.
#[derive(Debug, Clone, Default)]
pub struct CallerShares {
    callers: HashMap<Arc<str>, Decaying>,
    total: Decaying,
    pruned_at: Duration,
}

impl CallerShares {
    /// Creates the shares of a service that nobody has asked.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes an admitted request of a caller.
    pub fn add(&mut self, now: Duration, caller: &Arc<str>) {
        self.callers.entry(Arc::clone(caller)).or_default().add(now);
        self.total.add(now);
        if now >= self.pruned_at + PRUNE_INTERVAL {
            self.callers.retain(|_, count| count.amount(now) >= LEAST);
            self.pruned_at = now;
        }
    }

    /// Whether a caller has had clearly more than the average of the active callers.
    pub fn is_over(&self, now: Duration, caller: &str) -> bool {
        let had = self
            .callers
            .get(caller)
            .map_or(0.0, |count| count.amount(now));
        let active = u32::try_from(self.callers.len().max(1)).unwrap_or(u32::MAX);
        let average = self.total.amount(now) / f64::from(active);
        had > (average * ALLOWANCE).max(1.0)
    }
}
