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

/// Time after the load of a surge has fallen over which the least surplus is released. Tasks of later
/// steps start when the last ones of earlier steps have ended, so that the need rises and falls.
pub(super) const FALLEN_SURPLUS_DELAY: Duration = Duration::from_millis(600);

/// Maximum number of moves that one check begins if the platform's limit is not known.
const MAX_MOVES_PER_CHECK: usize = 12;

/// Time from the begin of a leadership until hosts are released: until then, callers may not have
/// repeated the requests that the former leader has not answered.
const FIRST_RELEASE: Duration = Duration::from_secs(3);

/// Time in which as many hosts may be released as there are, so that loads that rise and fall again
/// and again do not move hosts back and forth.
const RELEASE_ALL: Duration = Duration::from_secs(12);

/// Share of all hosts that may be released at once.
const RELEASE_BURST: f64 = 0.5;

/// Fewest hosts that may be released at once.
const MIN_RELEASE_BURST: f64 = 16.0;

/// Interval of checks, over which the release budget grows.
const CHECK_S: f64 = 0.1;

/// Share of an expected surge for which hosts are moved ahead; the rest comes with its first jobs.
const AHEAD_SHARE: f64 = 0.8;

/// Time by which hosts should be there before an expected surge begins.
const AHEAD_MARGIN: Duration = Duration::from_millis(100);

/// Longest time without a leader for which the offered load is taken over.
const MAX_GAP_MS: u64 = 8_000;

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
        let pool = Arc::clone(&queue.pool);
        self.surges.add(now.monotonic, &pool, spec.work());
    }

    /// Restores the offered load from the jobs of former leaders, as of the latest acceptance: most
    /// callers whose requests were not answered since will repeat them.
    pub(super) fn restore_offered(&mut self, now: Moment) {
        let mut mean_work: BTreeMap<QueueId, (f64, f64)> = BTreeMap::new();
        let mut accepted = Vec::new();
        for (_, job) in self.state.jobs() {
            let spec = job.spec.as_ref();
            if spec.is_some_and(|spec| spec.is_long_running() || spec.timetable.is_some()) {
                continue;
            }
            let work = spec.map(JobSpec::work);
            if let Some(work) = work {
                let (sum, count) = mean_work.entry(job.queue).or_default();
                (*sum, *count) = (*sum + work, *count + 1.0);
            }
            accepted.push((job.accepted_ms, job.queue, work));
        }
        accepted.sort_by_key(|(accepted_ms, ..)| *accepted_ms);
        let latest_ms = accepted.last().map_or(0, |(accepted_ms, ..)| *accepted_ms);
        let gap_ms = now.wall_ms.saturating_sub(latest_ms);
        for (accepted_ms, queue, work) in accepted {
            // The work of a job that has ended is not stored.
            let mean = mean_work.get(&queue).map(|(sum, count)| sum / count);
            let (Some(work), Some(config)) = (work.or(mean), self.state.queue(queue)) else {
                continue;
            };
            let age = Duration::from_millis(now.wall_ms.saturating_sub(accepted_ms));
            let Some(at) = now.monotonic.checked_sub(age) else {
                continue;
            };
            let pool = Arc::clone(&config.pool);
            self.surges.add(at, &pool, work);
            if gap_ms <= MAX_GAP_MS {
                let offered = self.offered_load.entry(pool).or_default();
                offered.add(at + Duration::from_millis(gap_ms), work);
            }
        }
        for (pool, offered) in &self.offered_load {
            let cores = offered.forecast(now.monotonic);
            log::info!(pool = pool.as_ref(), cores, gap_ms; "offered load restored");
        }
    }

    /// Returns the cores that a pool needs for a surge that is expected and for which hosts have to
    /// be moved now.
    fn expected_cores(&self, now: Moment, pool: &Arc<str>, host: Resources) -> f64 {
        let expected = self.surges.expected(pool);
        let Some(expected) = expected.filter(|_| self.options.pool_forecast) else {
            return 0.0;
        };
        let hosts = expected.cores / host.cores().max(1.0);
        let per_second = self.options.hosts.and_then(|hosts| hosts.orders_per_s);
        let begin = hosts / per_second.map_or(120.0, f64::from).max(1.0);
        let begin = Duration::try_from_secs_f64(begin).unwrap_or(Duration::MAX);
        let move_time = self
            .options
            .hosts
            .map_or(Duration::ZERO, |hosts| hosts.move_time);
        let ahead = begin.saturating_add(move_time + AHEAD_MARGIN);
        if now.monotonic.saturating_add(ahead) < expected.begins {
            return 0.0;
        }
        expected.cores * AHEAD_SHARE
    }

    /// Moves hosts to pools with a deficit, and surplus hosts to standby.
    pub(super) fn check_pools(&mut self, now: Moment) {
        let Some(stored) = self.state.config() else {
            return;
        };
        let config = Arc::clone(&stored.config);
        let standby = config.pools.iter().find(|pool| pool.standby);
        let standby = standby.map(|pool| Arc::clone(&pool.name));
        self.surges.observe(now.monotonic);
        self.grow_release_budget();
        let serving = config.pools.iter().filter(|pool| !pool.standby);
        let mut deficits = BTreeMap::new();
        let mut surplus = BTreeMap::new();
        let mut stable_surplus = Vec::new();
        for pool in serving {
            let (have, wanted) = self.pool_size(now, &pool.name);
            let name = Arc::clone(&pool.name);
            self.record_surplus(now, &name, have.saturating_sub(wanted));
            match have.cmp(&wanted) {
                Ordering::Less => {
                    let ahead_cores = self.expected_cores(now, &name, self.smallest_host(&name));
                    log::info!(
                        pool = name.as_ref(), have, wanted, ahead_cores;
                        "pool is short of hosts"
                    );
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
                    let fallen =
                        self.options.pool_forecast && self.surges.has_fallen(&name, now.monotonic);
                    if now.monotonic >= *since + SURPLUS_DELAY {
                        stable_surplus.push((Arc::clone(&name), usize::MAX));
                    } else if fallen {
                        let least = self.least_surplus(now, &name);
                        stable_surplus.push((Arc::clone(&name), least));
                    }
                    surplus.insert(name, have - wanted);
                }
            }
        }
        let available = self.available_orders(now);
        let mut moves = available.unwrap_or(MAX_MOVES_PER_CHECK);
        for (pool, deficit) in deficits {
            let found = self.fill_pool(now, &pool, deficit, &mut surplus, standby.as_ref(), moves);
            moves = moves.saturating_sub(found);
        }
        if let Some(standby) = standby
            && now.monotonic >= self.leading_since + FIRST_RELEASE
        {
            for (pool, most) in stable_surplus {
                let count = surplus.get(&pool).copied().unwrap_or_default().min(most);
                self.release_hosts(now, &pool, count, &standby);
            }
        }
    }

    fn record_surplus(&mut self, now: Moment, pool: &Arc<str>, surplus: usize) {
        let latest = self
            .hosts
            .latest_surplus
            .entry(Arc::clone(pool))
            .or_default();
        latest.push_back((now.monotonic, surplus));
        while latest
            .front()
            .is_some_and(|(at, _)| now.monotonic > *at + FALLEN_SURPLUS_DELAY)
        {
            latest.pop_front();
        }
    }

    /// Returns the least surplus of a pool over [`FALLEN_SURPLUS_DELAY`].
    fn least_surplus(&self, now: Moment, pool: &Arc<str>) -> usize {
        let latest = self.hosts.latest_surplus.get(pool).into_iter().flatten();
        let least = latest.map(|(_, surplus)| *surplus).min();
        let long_enough = now.monotonic >= self.leading_since + FALLEN_SURPLUS_DELAY;
        least.filter(|_| long_enough).unwrap_or_default()
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
        let mut load = self.pool_load(now, pool);
        let each = self.smallest_host(pool);
        load.offered_cores = load.offered_cores.max(self.expected_cores(now, pool, each));
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
            .filter(|(_, host)| {
                let available = host.is_available(now.monotonic) || self.is_redirectable(host);
                host.pool != *pool && available
            })
            .filter(|(name, _)| self.is_handed_over(now, name))
            .filter(|(name, _)| !self.hosts.kept_for_upkeep.contains(*name))
            .filter(|(_, host)| {
                let pair = (host.kind.clone(), Arc::clone(pool));
                !self.hosts.unsuitable.contains(&pair)
            })
            .filter_map(|(name, host)| {
                let is_standby = standby == Some(&host.pool);
                let redirected = host.operation.is_some();
                let available = is_standby
                    || redirected
                    || surplus.get(&host.pool).is_some_and(|count| *count > 0);
                let (long_running, used) = self.host_load(name);
                // A move from a pool whose load has fallen saves one to standby.
                let is_idle = used == 0
                    && self.options.pool_forecast
                    && self.surges.has_fallen(&host.pool, now.monotonic);
                let is_last = !is_standby && !is_idle;
                let key = (
                    is_last,
                    is_standby,
                    used,
                    Arc::clone(name),
                    Arc::clone(&host.pool),
                );
                (available && long_running == 0).then_some(key)
            })
            .collect();
        candidates.sort_unstable();
        for (.., name, from) in candidates {
            if found >= deficit.min(moves) {
                break;
            }
            let host = self.hosts.views.get(&name);
            let redirected = host.is_some_and(|host| host.operation.is_some());
            if let Some(count) = surplus.get_mut(&from).filter(|_| !redirected) {
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

    /// Returns whether a host is to be moved to standby and nothing has been requested yet, so that
    /// it can be moved to another pool instead, with one move instead of two.
    fn is_redirectable(&self, host: &HostView) -> bool {
        let operation = host.operation.as_ref();
        let draining =
            operation.is_some_and(|operation| operation.phase == OperationPhase::Draining);
        draining && self.is_released(host)
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
        let count = if self.options.pool_forecast {
            count.min(self.take_release_budget(count.min(hosts.len())))
        } else {
            count
        };
        for (_, name) in hosts.into_iter().take(count) {
            let pool = Arc::clone(standby);
            self.begin_operation(now, &name, HostClaim::Move { pool });
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "a number of hosts")]
    fn grow_release_budget(&mut self) {
        let hosts = self.hosts.views.len() as f64;
        let most = (hosts * RELEASE_BURST).max(MIN_RELEASE_BURST);
        let growth = hosts * CHECK_S / RELEASE_ALL.as_secs_f64();
        let budget = self.release_budget;
        self.release_budget = Some(budget.map_or(most, |budget| (budget + growth).min(most)));
    }

    /// Takes up to `count` releases from the budget; returns how many.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a number of hosts"
    )]
    fn take_release_budget(&mut self, count: usize) -> usize {
        let Some(budget) = &mut self.release_budget else {
            return 0;
        };
        let taken = count.min(*budget as usize);
        *budget -= taken as f64;
        taken
    }
}
