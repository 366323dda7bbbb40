//! Statistics of pools, for metrics.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::load_shedding::ShedStats;
use super::{Leader, Moment};
use crate::job::Resources;
use crate::schedule::ReliabilityStatus;

/// Statistics of a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Number of jobs with tasks that are ready to start.
    pub jobs_waiting: u64,
    /// Number of known executors.
    pub executors: u64,
    /// Number of executors that accept tasks.
    pub usable: u64,
    /// Number of executors that are suspended or on probation.
    pub suspended: u64,
    /// Resources that runs reserve.
    pub used: Resources,
    /// Total resources of the usable executors.
    pub capacity: Resources,
    /// Shortest remaining lease of an executor with runs, in milliseconds; 0 without such an
    /// executor.
    pub shortest_lease_ms: u64,
    /// Effects of load shedding.
    pub shed: ShedStats,
}

impl Leader {
    /// Returns the statistics of each pool, by name.
    pub fn pool_stats(&self, now: Moment) -> BTreeMap<Arc<str>, PoolStats> {
        let mut pools: BTreeMap<Arc<str>, PoolStats> = BTreeMap::new();
        for (pool, jobs) in &self.pending {
            let stats = pools.entry(Arc::clone(pool)).or_default();
            stats.jobs_waiting = jobs.len() as u64;
            stats.shed = self.load_shedding.stats(pool);
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
                let remaining = view.deadline_ms.saturating_sub(clock);
                let shortest = pool.shortest_lease_ms;
                pool.shortest_lease_ms = if shortest == 0 {
                    remaining
                } else {
                    remaining.min(shortest)
                };
            }
        }
        pools
    }
}
