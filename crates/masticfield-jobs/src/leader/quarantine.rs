//! Quarantine of executors for tasks that may crash them.
//!
//! After a crash, each task that was starting on the executor is suspected. It is started again on
//! an executor on which no other job starts tasks meanwhile, so that one more crash shows which job
//! is at fault, and few others are lost with the executor.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::placement::Placement;
use super::plan::is_same_step;
use super::pool_view::{PoolView, Slot};
use super::{Leader, Moment};
use crate::job::{JobId, TaskId};
use crate::queue::QueueId;
use crate::schedule::{
    OUTLIVED, PlacementRequest, ReliabilityStatus, Timeliness, fits, quarantine_wait,
};
use crate::state::ExecutorKey;

/// Number of usable executors of a pool for each one that may be in quarantine for a job that has
/// crashed an executor alone; at least one may.
const EXECUTORS_PER_RETEST: usize = 8;

/// Number of usable executors of a pool for each one that may be in quarantine; at least one may.
/// The rest is left to jobs that are not suspected.
const EXECUTORS_PER_QUARANTINE: usize = 2;

/// Number of jobs that have crashed an executor alone for each host that their pool keeps for them.
const RETESTS_PER_HOST: usize = 3;

/// Share of starts that crash executors from which on an executor is in quarantine only while
/// nothing else runs there.
const SPARE_SHARE: f64 = 0.12;

/// Time after which a quarantine ends in any case, unless a task was started in it since.
const QUARANTINE: Duration = Duration::from_secs(2);

/// An executor on which only the tasks of one job are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Quarantine {
    pub(super) job: JobId,
    until: Duration,
}

impl Leader {
    /// Starts suspected tasks of a pool that can start, before any other task of the pool.
    ///
    /// Jobs that have crashed an executor alone come last: they are most likely at fault, and each
    /// of their starts costs an executor.
    pub(super) fn plan_suspects(&mut self, now: Moment, pool: &Arc<str>, view: &mut PoolView) {
        let suspected = self.state.suspected_jobs().chain(self.lapsed.recent_jobs());
        let suspected = suspected.filter_map(|id| {
            let job = self.pending_jobs.get(&id).filter(|job| job.pool == *pool)?;
            let order = u8::from(self.sole_crashes.contains(&id)) * 2;
            Some((order, Timeliness::OnTime, job.rank, id))
        });
        let mut jobs: BTreeSet<_> = suspected.collect();
        if self.crashes_counted {
            let pending = self.pending.get(pool).into_iter().flatten();
            let others = pending.filter(|(rank, id)| {
                let known = [0, 2]
                    .iter()
                    .any(|order| jobs.contains(&(*order, Timeliness::OnTime, *rank, *id)));
                !known && self.queue_starts_apart(now, *id)
            });
            let others = others.map(|(rank, id)| (1, self.timeliness_of(now, *id), *rank, *id));
            let others: Vec<_> = others.collect();
            jobs.extend(others);
        }
        let first_retest = jobs.first().is_none_or(|(order, ..)| *order == 2);
        let any_retest = jobs.last().is_some_and(|(order, ..)| *order == 2);
        for (.., id) in jobs {
            let own = view.slots.iter().any(|slot| slot.quarantine == Some(id));
            if !own && !self.may_quarantine(now, id, pool, (first_retest, any_retest)) {
                continue;
            }
            let (suspects, _) = self.startable_tasks(now, id);
            let mut any = false;
            for tasks in suspects.chunk_by(is_same_step) {
                let placements = self.place_suspects(now, self.within_quota(tasks), view);
                any |= self.place_all(now, placements);
            }
            if any {
                self.update_pending(now, id);
            }
        }
    }

    /// Places suspected tasks of one step of a job on its executor in quarantine, once no run of
    /// another job is starting there. If the job has none, an executor is put in quarantine.
    fn place_suspects(
        &mut self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        pool: &mut PoolView,
    ) -> Vec<Placement> {
        let Some(job) = tasks.first().map(|(task, _)| task.job) else {
            return Vec::new();
        };
        let own = |slot: &&Slot| slot.quarantine == Some(job);
        let key = match pool.slots.iter().find(own) {
            Some(slot) => slot.key,
            None => match self.quarantine(now, tasks, pool) {
                Some(key) => key,
                None => return Vec::new(),
            },
        };
        let view = self.executors.get(&key);
        if !view.is_some_and(|view| view.is_quiet_for(job)) {
            return Vec::new();
        }
        let Some(index) = pool.slots.iter().position(|slot| slot.key == key) else {
            return Vec::new();
        };
        let mut alone = PoolView {
            slots: vec![pool.slots.swap_remove(index)],
            any_reliable: pool.any_reliable,
        };
        let placements = self.place_tasks(now, tasks, &mut alone);
        pool.slots.append(&mut alone.slots);
        if !placements.is_empty() {
            self.extend_quarantine(now, key, job);
        }
        placements
    }

    /// Puts the executor with the fewest runs that fits a task in quarantine for its job.
    fn quarantine(
        &mut self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        pool: &mut PoolView,
    ) -> Option<ExecutorKey> {
        let (first, _, step) = self.step_of(tasks)?;
        let request = PlacementRequest {
            step,
            near_rack: None,
        };
        let spares_runs = !self.has_suspects(first.job) && self.spares_runs(first.job);
        let free = pool.slots.iter().filter(|slot| {
            let view = self.executors.get(&slot.key);
            let spared = spares_runs
                && view.is_some_and(|view| view.runs.values().any(|run| !run.long_running));
            !spared && slot.quarantine.is_none() && fits(request, &self.candidate(slot, step, &[]))
        });
        let runs = |key| self.executors.get(&key).map_or(0, |view| view.runs.len());
        let is_quiet = |key| {
            let view = self.executors.get(&key);
            view.is_some_and(|view| view.is_quiet_for(first.job))
        };
        let best = free.min_by_key(|slot| {
            (
                slot.status != ReliabilityStatus::Good,
                slot.upkeep_due,
                !is_quiet(slot.key),
                runs(slot.key),
                Reverse(slot.free.cpu_milli),
            )
        });
        let key = best?.key;
        let slot = pool.slots.iter_mut().find(|slot| slot.key == key)?;
        slot.quarantine = Some(first.job);
        self.extend_quarantine(now, key, first.job);
        log::info!(job:% = first.job, executor = key.0; "executor in quarantine for a suspected job");
        // The answer shows that earlier runs have outlived their start.
        self.poll_beside(now, key);
        Some(key)
    }

    /// Returns whether jobs of a job's queue crash so many executors that none starts on an executor
    /// on which others run.
    fn spares_runs(&self, job: JobId) -> bool {
        let job = self.state.job(job);
        let share = job.and_then(|job| self.crash_shares.get(&job.queue));
        share.is_some_and(|share| share.share() >= SPARE_SHARE)
    }

    /// Returns whether another executor of a pool may be put in quarantine for a job.
    ///
    /// Executors that have crashed in quarantine count until their successors are there, except
    /// for a suspected job that is probably not at fault: its callers have waited already.
    /// Some executors are left to jobs that have crashed one alone, if `any_retest` waits: new jobs of
    /// the queue, which come first, would take all of them for as long as they arrive.
    fn may_quarantine(
        &self,
        now: Moment,
        job: JobId,
        pool: &Arc<str>,
        (only_retests, any_retest): (bool, bool),
    ) -> bool {
        let keys = self.pool_executors.get(pool).into_iter().flatten();
        let views: Vec<_> = keys.filter_map(|key| self.executors.get(key)).collect();
        let quarantined = || views.iter().filter(|view| view.quarantine.is_some());
        let limit = self.max_quarantines(now, pool);
        if self.sole_crashes.contains(&job) {
            let retests = quarantined().filter_map(|view| Some(view.quarantine?.job));
            let retests = retests.filter(|job| self.sole_crashes.contains(job));
            let share = if only_retests {
                EXECUTORS_PER_RETEST / 2
            } else {
                EXECUTORS_PER_RETEST
            };
            retests.count() < (views.len() / share).max(1) && quarantined().count() < limit
        } else if self.has_suspects(job) {
            let usable = views.iter().filter(|view| view.failed_holds == 0).count();
            let answering = quarantined().filter(|view| view.failed_holds == 0);
            answering.count() < limit.max(usable.saturating_sub(1))
        } else {
            let left = if any_retest {
                (views.len() / EXECUTORS_PER_RETEST).max(1)
            } else {
                0
            };
            quarantined().count() < limit.saturating_sub(left).max(1)
        }
    }

    /// Returns the number of executors of a pool that may be in quarantine at the same time.
    ///
    /// Queues whose jobs crash few executors keep half of the pool. Without such a queue, executors
    /// outside of a quarantine would be idle.
    fn max_quarantines(&self, now: Moment, pool: &Arc<str>) -> usize {
        let executors = self.pool_executors.get(pool).map_or(0, BTreeSet::len);
        let config = self.state.config().map(|stored| &stored.config);
        let queues = config.into_iter().flat_map(|config| &config.queues);
        let mut of_pool = queues.filter(|queue| queue.pool == *pool);
        let all_apart = of_pool.all(|queue| {
            let id = self.state.queue_id(&queue.authority, &queue.prefix);
            let share = id.and_then(|id| self.crash_shares.get(&id));
            share.is_some_and(|share| share.starts_apart(now.monotonic))
        });
        let share = if all_apart {
            1
        } else {
            EXECUTORS_PER_QUARANTINE
        };
        (executors / share).max(1)
    }

    /// Returns the number of hosts that a pool keeps because suspected tasks wait for them.
    pub(super) fn hosts_for_suspects(&self, now: Moment, pool: &Arc<str>) -> u32 {
        if !self.crashes_counted {
            return 0;
        }
        let executors = self.pool_executors.get(pool).map_or(0, BTreeSet::len);
        let pending = self.pending.get(pool).into_iter().flatten();
        let retests = pending
            .filter(|(_, id)| self.sole_crashes.contains(id))
            .count();
        let others = self.jobs_apart(now, pool).saturating_sub(retests);
        let hosts = (others + retests / RETESTS_PER_HOST).min(executors);
        u32::try_from(hosts).unwrap_or(u32::MAX)
    }

    /// Returns the number of jobs of a pool with ready tasks that may only start apart from others.
    pub(super) fn jobs_apart(&self, now: Moment, pool: &Arc<str>) -> usize {
        let pending = self.pending.get(pool).into_iter().flatten();
        let apart =
            pending.filter(|(_, id)| self.queue_starts_apart(now, *id) || self.has_suspects(*id));
        apart.count()
    }

    /// Returns how long a new job of a queue whose jobs start apart would wait for its first start;
    /// `None` if jobs of the queue start beside others.
    pub(super) fn wait_apart(
        &self,
        now: Moment,
        queue: QueueId,
        held: Duration,
    ) -> Option<Duration> {
        let share = self.crash_shares.get(&queue)?;
        let pool = &self.state.queue(queue)?.pool;
        if !share.starts_apart(now.monotonic) {
            return None;
        }
        let pending = self.pending.get(pool).into_iter().flatten();
        let apart = pending.filter(|(_, id)| {
            !self.sole_crashes.contains(id)
                && (self.queue_starts_apart(now, *id) || self.has_suspects(*id))
        });
        let held = if share.share() >= SPARE_SHARE {
            held
        } else {
            OUTLIVED
        };
        Some(quarantine_wait(
            apart.count(),
            self.max_quarantines(now, pool),
            share.share(),
            held,
        ))
    }

    fn extend_quarantine(&mut self, now: Moment, key: ExecutorKey, job: JobId) {
        if let Some(view) = self.executors.get_mut(&key) {
            let until = now.monotonic + QUARANTINE;
            view.quarantine = Some(Quarantine { job, until });
        }
    }

    /// Ends a quarantine that has lasted too long or whose job has no suspected task any more.
    pub(super) fn check_quarantine(&mut self, now: Moment, key: ExecutorKey) {
        let view = self.executors.get(&key);
        let Some(quarantine) = view.and_then(|view| view.quarantine) else {
            return;
        };
        // One that does not answer may have crashed.
        let silent = view.is_some_and(|view| view.failed_holds > 0);
        let in_use = view.is_some_and(|view| view.suspects > 0);
        let expired = now.monotonic >= quarantine.until && !silent;
        let over = expired || !in_use && self.startable_tasks(now, quarantine.job).0.is_empty();
        if over && let Some(view) = self.executors.get_mut(&key) {
            view.quarantine = None;
            self.plan_pool_of(key);
        }
    }
}
