//! Pool sizes: moves of hosts between pools and to standby.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::host::{HostView, OperationPhase};
use super::{Leader, Moment};
use crate::job::{JobSpec, Resources};
use crate::queue::QueueId;
use crate::schedule::{PoolLoad, ReliabilityStatus, required_hosts};
use crate::state::HostClaim;

/// Time for which a pool keeps surplus hosts before it releases them to standby. Releasing a host
/// and taking it back costs two moves, as much as about two seconds of the host in a pool.
const SURPLUS_DELAY: Duration = Duration::from_millis(1_500);

/// Maximum number of moves that one check begins, to stay within the platform's rate limit.
const MAX_MOVES_PER_CHECK: usize = 12;

impl Leader {
    /// Records the work of a submitted job, whether or not the job is accepted.
    pub(super) fn record_offered(&mut self, now: Moment, queue: QueueId, spec: &JobSpec) {
        if spec.is_long_running() || spec.timetable.is_some() {
            return;
        }
        let Some(queue) = self.state.queue(queue) else {
            return;
        };
        let offered = self
            .offered_load
            .entry(Arc::clone(&queue.pool))
            .or_default();
        offered.add(now.monotonic, spec.work());
    }

    /// Moves hosts to pools with a deficit, and surplus hosts to standby.
    pub(super) fn check_pools(&mut self, now: Moment) {
        let Some(stored) = self.state.config() else {
            return;
        };
        let config = Arc::clone(&stored.config);
        let standby = config.pools.iter().find(|pool| pool.standby);
        let standby = standby.map(|pool| Arc::clone(&pool.name));
        let serving = config.pools.iter().filter(|pool| !pool.standby);
        let mut deficits = BTreeMap::new();
        let mut surplus = BTreeMap::new();
        let mut stable_surplus = Vec::new();
        for pool in serving {
            let (have, wanted) = self.pool_size(now, &pool.name);
            let name = Arc::clone(&pool.name);
            match have.cmp(&wanted) {
                Ordering::Less => {
                    log::info!(pool = name.as_ref(), have, wanted; "pool is short of hosts");
                    self.hosts.surplus_since.remove(&name);
                    deficits.insert(name, wanted - have);
                }
                Ordering::Equal => {
                    self.hosts.surplus_since.remove(&name);
                }
                Ordering::Greater => {
                    let since = self
                        .hosts
                        .surplus_since
                        .entry(Arc::clone(&name))
                        .or_insert(now.monotonic);
                    if now.monotonic >= *since + SURPLUS_DELAY {
                        stable_surplus.push(Arc::clone(&name));
                    }
                    surplus.insert(name, have - wanted);
                }
            }
        }
        let mut moves = MAX_MOVES_PER_CHECK;
        for (pool, deficit) in deficits {
            let found = self.fill_pool(now, &pool, deficit, &mut surplus, standby.as_ref(), moves);
            moves = moves.saturating_sub(found);
        }
        if let Some(standby) = standby {
            for pool in stable_surplus {
                let count = surplus.get(&pool).copied().unwrap_or_default();
                self.release_hosts(now, &pool, count, &standby);
            }
        }
    }

    /// Returns the number of hosts that a pool has or will have, and the number that it needs.
    fn pool_size(&self, now: Moment, pool: &Arc<str>) -> (usize, usize) {
        let hosts = self.hosts.views.values();
        let have = hosts.filter(|host| {
            if let Some(operation) = &host.operation {
                return matches!(&operation.claim, HostClaim::Move { pool: to } if to == pool);
            }
            let is_healthy = self.executor_view(host).is_none_or(|view| {
                view.failed_holds == 0
                    && view.reliability.status(now.monotonic) == ReliabilityStatus::Good
            });
            host.pool == *pool && is_healthy && (host.up || host.is_away(now.monotonic))
        });
        let load = self.pool_load(now, pool);
        let each = self.smallest_host(pool);
        (have.count(), required_hosts(&load, each) as usize)
    }

    /// Returns the cores of hosts that are moving to a pool, or are on standby and can be moved.
    pub(super) fn incoming_cores(&self, now: Moment, pool: &Arc<str>) -> f64 {
        let hosts = self.hosts.views.values().filter(|host| {
            let is_moving = host.operation.as_ref().is_some_and(
                |operation| matches!(&operation.claim, HostClaim::Move { pool: to } if to == pool),
            );
            let away = host.pool == *pool && host.is_away(now.monotonic);
            let pair = (host.kind.clone(), Arc::clone(pool));
            let suits = !self.hosts.unsuitable.contains(&pair);
            let is_standby =
                host.is_available(now.monotonic) && self.is_standby_pool(&host.pool) && suits;
            is_moving || away || is_standby
        });
        hosts.map(|host| host.capacity.cores()).sum()
    }

    /// Returns the capacity of the pool's host with the least processor time.
    fn smallest_host(&self, pool: &Arc<str>) -> Resources {
        let hosts = self.hosts.views.values();
        let of_pool = hosts
            .filter(|host| host.pool == *pool)
            .map(|host| host.capacity);
        of_pool
            .min_by_key(|capacity| capacity.cpu_milli)
            .unwrap_or_default()
    }

    /// Returns the demand of a pool's jobs.
    fn pool_load(&self, now: Moment, pool: &Arc<str>) -> PoolLoad {
        let mut load = PoolLoad::default();
        for key in self.pool_executors.get(pool).into_iter().flatten() {
            if let Some(view) = self.executors.get(key) {
                load.running = load.running.saturating_add(view.used);
            }
        }
        (load.waiting, load.spread_hosts) = self.waiting_demand(now, pool);
        let offered = self.offered_load.get(pool);
        load.offered_cores = offered.map_or(0.0, |offered| offered.forecast(now.monotonic));
        load
    }

    /// Moves up to `deficit` hosts to a pool, from standby first; returns the number of hosts found.
    fn fill_pool(
        &mut self,
        now: Moment,
        pool: &Arc<str>,
        deficit: usize,
        surplus: &mut BTreeMap<Arc<str>, usize>,
        standby: Option<&Arc<str>>,
        moves: usize,
    ) -> usize {
        let mut found = self.cancel_moves_out(pool, deficit);
        let mut candidates: Vec<_> = self
            .hosts
            .views
            .iter()
            .filter(|(_, host)| host.pool != *pool && host.is_available(now.monotonic))
            .filter(|(name, _)| self.is_handed_over(now, name))
            .filter(|(name, _)| !self.hosts.kept_for_upkeep.contains(*name))
            .filter(|(_, host)| {
                let pair = (host.kind.clone(), Arc::clone(pool));
                !self.hosts.unsuitable.contains(&pair)
            })
            .filter_map(|(name, host)| {
                let is_standby = standby == Some(&host.pool);
                let available =
                    is_standby || surplus.get(&host.pool).is_some_and(|count| *count > 0);
                let (long_running, used) = self.host_load(name);
                let key = (!is_standby, used, Arc::clone(name), Arc::clone(&host.pool));
                (available && long_running == 0).then_some(key)
            })
            .collect();
        candidates.sort_unstable();
        for (_, _, name, from) in candidates {
            if found >= deficit.min(moves) {
                break;
            }
            if let Some(count) = surplus.get_mut(&from) {
                if *count == 0 {
                    continue;
                }
                *count -= 1;
            }
            found += 1;
            let pool = Arc::clone(pool);
            self.begin_operation(now, &name, HostClaim::Move { pool });
        }
        found
    }

    /// Cancels moves out of a pool that have not been requested from the platform yet; returns the
    /// number of hosts that stay.
    fn cancel_moves_out(&mut self, pool: &Arc<str>, deficit: usize) -> usize {
        let is_leaving = |host: &HostView| {
            let operation = host.operation.as_ref();
            host.pool == *pool
                && operation.is_some_and(|operation| {
                    operation.phase == OperationPhase::Draining
                        && matches!(operation.claim, HostClaim::Move { .. })
                })
        };
        let hosts = self.hosts.views.iter().filter(|(_, host)| is_leaving(host));
        let names: Vec<_> = hosts
            .map(|(name, _)| Arc::clone(name))
            .take(deficit)
            .collect();
        for name in &names {
            self.cancel_operation(name);
        }
        names.len()
    }

    /// Drains hosts that a pool does not need, and moves them to standby.
    fn release_hosts(&mut self, now: Moment, pool: &Arc<str>, count: usize, standby: &Arc<str>) {
        let hosts = self.hosts.views.iter();
        let mut hosts: Vec<_> = hosts
            .filter(|(_, host)| host.pool == *pool && host.is_available(now.monotonic))
            .filter(|(name, _)| !self.hosts.kept_for_upkeep.contains(*name))
            .filter_map(|(name, host)| {
                let view = self.executor_view(host)?;
                let long_running = view.runs.values().any(|run| run.long_running);
                (!long_running).then(|| (view.used.cpu_milli, Arc::clone(name)))
            })
            .collect();
        hosts.sort_unstable();
        for (_, name) in hosts.into_iter().take(count) {
            let pool = Arc::clone(standby);
            self.begin_operation(now, &name, HostClaim::Move { pool });
        }
    }
}
