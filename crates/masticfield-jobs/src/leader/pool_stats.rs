//! What the pools hold, for metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::{Leader, Moment};
use crate::job::Resources;
use crate::schedule::ReliabilityStatus;

/// What a pool holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Jobs with tasks that could start.
    pub jobs_waiting: u64,
    /// Executors that are known.
    pub executors: u64,
    /// Those on which tasks may start.
    pub usable: u64,
    /// Those that get no or few tasks because of their track record.
    pub suspended: u64,
    /// What runs take.
    pub used: Resources,
    /// What the usable executors have.
    pub capacity: Resources,
    /// Shortest time that is left of a lease of an executor with runs, in milliseconds; 0 if none
    /// has any.
    pub shortest_lease_ms: u64,
}

impl Leader {
    /// What each pool holds.
    pub fn pool_stats(&self, now: Moment) -> BTreeMap<Arc<str>, PoolStats> {
        let mut pools: BTreeMap<Arc<str>, PoolStats> = BTreeMap::new();
        for (pool, jobs) in &self.pending {
            pools.entry(Arc::clone(pool)).or_default().jobs_waiting = jobs.len() as u64;
        }
        for (key, record) in self.state.executors() {
            let Some(view) = self.executors.get(&key) else {
                continue;
            };
            let pool = pools
                .entry(Arc::clone(&record.incarnation.pool))
                .or_default();
            pool.executors += 1;
            pool.used = pool.used.saturating_add(view.used);
            if self.is_usable(now, key) {
                pool.usable += 1;
                pool.capacity = pool.capacity.saturating_add(record.incarnation.capacity);
            }
            pool.suspended +=
                u64::from(view.reliability.status(now.monotonic) != ReliabilityStatus::Good);
            if !view.runs.is_empty() && view.clock.is_some() {
                let clock = view.clock.map_or(0, |clock| clock.estimate(now.monotonic));
                let left = view.deadline_ms.saturating_sub(clock);
                let shortest = pool.shortest_lease_ms;
                pool.shortest_lease_ms = if shortest == 0 {
                    left
                } else {
                    left.min(shortest)
                };
            }
        }
        pools
    }
}
