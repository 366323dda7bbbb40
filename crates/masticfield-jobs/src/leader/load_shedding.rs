//! Load shedding: the order of waiting jobs and the admission of new ones by their value.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use super::intake::MAX_RETRY_AFTER_MS;
use super::pool_view::PoolView;
use super::{Leader, Moment, Refusal, Reply};
use crate::job::{JobId, JobSpec};
use crate::queue::{QueueId, WorkspaceId};
use crate::schedule::{
    JobValues, NewJob, PoolCapacity, ServiceHistory, Turn, USEFUL_FACTOR, WaitingJob, admit_new,
    on_time_ms, shed_order,
};

/// Time for which the capacity of a pool is not computed again; it changes slowly.
const CAPACITY_AGE: Duration = Duration::from_millis(50);

/// Part of a pool's cores that late jobs leave free for jobs that can be on time. Tasks are not
/// stopped for others, so that a full pool makes jobs wait that arrive next.
const RESERVE: f64 = 0.3;

/// Minimum time after which a refused caller is asked to come back, in milliseconds.
const MIN_RETRY_AFTER_MS: u64 = 100;

/// Time for which the first submission of a refused job is remembered, in milliseconds; longer than
/// the time within which results of usual jobs are of use.
const REMEMBER_MS: u64 = 60_000;

/// What load shedding observes; a new leader begins anew.
#[derive(Debug, Default)]
pub(super) struct LoadShedding {
    /// Whether the option and the configuration ask for load shedding.
    pub(super) enabled: bool,
    histories: HashMap<QueueId, ServiceHistory>,
    /// Time of the first submission of jobs that were refused, in milliseconds since the Unix
    /// epoch.
    first_submitted: HashMap<JobId, u64>,
    /// Open jobs of which a task was started.
    started: HashSet<JobId>,
    pools: BTreeMap<Arc<str>, ShedPool>,
}

/// What load shedding observes of a pool.
#[derive(Debug, Default)]
struct ShedPool {
    capacity: Option<(Duration, PoolCapacity)>,
    /// Work of refused jobs and when their callers are to come back, in milliseconds since the Unix
    /// epoch.
    returning: VecDeque<(u64, f64)>,
    stats: ShedStats,
}

/// Effects of load shedding in a pool.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ShedStats {
    /// Jobs that wait, as others are worth more; as of the last plan.
    pub delayed: u64,
    /// Late jobs that yield to others; as of the last plan.
    pub yielding: u64,
    /// Refusals since this leadership began because the job would have been late in any case.
    pub refused_late: u64,
    /// Refusals since this leadership began because the capacity goes to jobs that are worth more.
    pub refused_for_others: u64,
}

impl LoadShedding {
    /// Forgets jobs that are not open, and first submissions that no longer matter.
    pub(super) fn forget(&mut self, now: Moment, open: impl Fn(JobId) -> bool) {
        self.started.retain(|job| open(*job));
        let since_ms = now.wall_ms.saturating_sub(REMEMBER_MS);
        self.first_submitted
            .retain(|job, first_ms| *first_ms >= since_ms || open(*job));
    }

    /// Returns the effects in a pool.
    pub(super) fn stats(&self, pool: &str) -> ShedStats {
        self.pools
            .get(pool)
            .map_or_else(ShedStats::default, |pool| pool.stats)
    }
}

impl Leader {
    /// Updates whether load is shed, and the shares of workspaces.
    pub(super) fn configure_load_shedding(&mut self) {
        let config = self.state.config().map(|stored| &stored.config);
        let asks = config.is_some_and(|config| {
            let mut priorities = config.queues.iter().map(|queue| queue.priority);
            let first = priorities.next();
            config.workspaces.is_some() || priorities.any(|priority| Some(priority) != first)
        });
        self.load_shedding.enabled = self.options.load_shedding && asks;
        self.configure_shares();
    }

    /// Starts tasks of a pool's waiting jobs in the order that load shedding decides.
    pub(super) fn plan_by_value(&mut self, now: Moment, pool: &Arc<str>, view: &mut PoolView) {
        let mut max_free = view.max_free();
        let pending = self.pending.get(pool).into_iter().flatten();
        if !pending.clone().any(|(_, job)| self.may_fit(*job, max_free)) {
            return;
        }
        let (long_running, ids): (Vec<_>, Vec<_>) = pending.map(|(_, job)| *job).partition(|job| {
            let job = self.state.job(*job);
            let spec = job.and_then(|job| job.spec.as_ref());
            spec.is_some_and(JobSpec::is_long_running)
        });
        let capacity = self.shed_capacity(now, pool);
        let jobs = self.waiting_jobs(now, &ids);
        let order = shed_order(&jobs, &capacity);
        let count = |wanted: &[Turn]| {
            let turns = order.iter().filter(|(_, turn)| wanted.contains(turn));
            turns.count() as u64
        };
        let (delayed, yielding) = (
            count(&[Turn::Wait]),
            count(&[Turn::Yield, Turn::YieldToAll]),
        );
        let stats = &mut self
            .load_shedding
            .pools
            .entry(Arc::clone(pool))
            .or_default()
            .stats;
        (stats.delayed, stats.yielding) = (delayed, yielding);
        let finite = order
            .into_iter()
            .map(|(index, turn)| (jobs[index].id, turn));
        let order = long_running.into_iter().map(|id| (id, Turn::Start));
        let mut reserve_free = true;
        for (id, turn) in order.chain(finite) {
            if !self.may_fit(id, max_free) {
                continue;
            }
            let yields = turn >= Turn::Yield;
            if yields {
                reserve_free = reserve_free && view.free_cores() >= RESERVE * capacity.cores;
                if !reserve_free {
                    continue;
                }
            }
            if self.plan_job(now, id, view) {
                self.record_start(now, id, turn);
                self.update_pending(now, id);
                max_free = view.max_free();
            }
        }
    }

    /// Records that tasks of a job were started.
    fn record_start(&mut self, now: Moment, id: JobId, turn: Turn) {
        if !self.load_shedding.started.insert(id) {
            return;
        }
        self.shares.serve(now, id);
        if turn <= Turn::Wait
            && let Some(job) = self.pending_jobs.get(&id)
            && let Some(history) = self.load_shedding.histories.get_mut(&job.queue)
        {
            history.record_served(job.total_work);
        }
    }

    /// Returns the input of load shedding for waiting jobs.
    fn waiting_jobs(&self, now: Moment, ids: &[JobId]) -> Vec<WaitingJob> {
        let mut values: HashMap<QueueId, JobValues> = HashMap::new();
        let waiting = ids.iter().filter_map(|id| {
            let job = self.pending_jobs.get(id)?;
            // Jobs that wait for their quota do not compete for capacity.
            if !self.has_quota_room(job) {
                return None;
            }
            let values = values
                .entry(job.queue)
                .or_insert_with(|| self.job_values(job.queue, job.priority));
            let first_ms = self.load_shedding.first_submitted.get(id);
            let since_ms = first_ms.copied().unwrap_or(job.accepted_ms);
            let (in_share, start_tag) = self.shares.of(*id);
            let left = |limit_ms: u64| seconds_until(now, since_ms.saturating_add(limit_ms));
            Some(WaitingJob {
                id: *id,
                in_share,
                start_tag,
                priority: job.priority,
                time_left: job.on_time_ms.map(left),
                useful_left: left(
                    job.on_time_ms
                        .unwrap_or_default()
                        .saturating_mul(USEFUL_FACTOR),
                ),
                path: Duration::from_millis(job.remaining_ms).as_secs_f64(),
                work: job.work,
                value: values.of(job.total_work),
            })
        });
        waiting.collect()
    }

    fn job_values(&self, queue: QueueId, priority: u32) -> JobValues {
        let history = self.load_shedding.histories.get(&queue);
        history.map_or_else(
            || ServiceHistory::default().values(priority),
            |history| history.values(priority),
        )
    }

    /// Returns the capacity of a pool, which may be computed up to [`CAPACITY_AGE`] ago.
    fn shed_capacity(&mut self, now: Moment, pool: &Arc<str>) -> PoolCapacity {
        let known = self.load_shedding.pools.get(pool);
        if let Some((at, capacity)) = known.and_then(|known| known.capacity)
            && now.monotonic < at + CAPACITY_AGE
        {
            return capacity;
        }
        let backlog = self.backlog(now, pool, Duration::MAX);
        let capacity = PoolCapacity {
            cores: backlog.cores,
            incoming: backlog.incoming,
        };
        let known = self
            .load_shedding
            .pools
            .entry(Arc::clone(pool))
            .or_default();
        known.capacity = Some((now.monotonic, capacity));
        capacity
    }

    /// Records the work of a new job in the history of its queue.
    pub(super) fn record_size(&mut self, queue: QueueId, work: f64) {
        let history = self.load_shedding.histories.entry(queue).or_default();
        history.record_offered(work);
    }

    /// Accepts or refuses a new job by its value.
    pub(super) fn submit_by_value(
        &mut self,
        now: Moment,
        id: JobId,
        queue: QueueId,
        workspace: Option<WorkspaceId>,
        spec: JobSpec,
    ) -> Reply {
        let Some(config) = self.state.queue(queue) else {
            return Reply::NoQueue;
        };
        let (pool, priority) = (Arc::clone(&config.pool), config.priority);
        let on_time_ms = on_time_ms(&spec, config);
        let work = spec.work();
        let never_late = spec.is_long_running() || spec.timetable.is_some();
        let first_ms = self.load_shedding.first_submitted.get(&id).copied();
        if first_ms.is_none() && !never_late {
            self.record_size(queue, work);
            self.shares.record_offered(now, workspace);
        }
        let since_ms = first_ms.unwrap_or(now.wall_ms);
        let left = |limit_ms: u64| seconds_until(now, since_ms.saturating_add(limit_ms));
        let job = WaitingJob {
            id,
            in_share: self.shares.is_in_share(now, workspace),
            start_tag: 0.0,
            priority,
            time_left: (!never_late).then(|| left(on_time_ms)),
            useful_left: left(on_time_ms.saturating_mul(USEFUL_FACTOR)),
            path: Duration::from_millis(spec.critical_path_ms()).as_secs_f64(),
            work,
            value: self.job_values(queue, priority).of(work),
        };
        let capacity = self.shed_capacity(now, &pool);
        let pending = self.pending.get(&pool).into_iter().flatten();
        let ids: Vec<_> = pending.map(|(_, id)| *id).collect();
        let waiting = self.waiting_jobs(now, &ids);
        let returning = self.returning_work(now, &pool);
        match admit_new(&job, &waiting, &capacity, returning) {
            NewJob::Accept => {
                log::info!(
                    job:% = id, queue = queue.0, steps = spec.steps.len(), work, cores = capacity.cores,
                    coming = capacity.incoming, in_share = job.in_share, waiting = waiting.len();
                    "job accepted"
                );
                if !never_late {
                    self.shares.accept(now, id, workspace, work);
                }
                self.store_job(now, id, queue, workspace, spec);
                Reply::Done
            }
            NewJob::Refuse { retry_after, basis } => {
                let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
                let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
                log::info!(
                    job:% = id, queue = queue.0, work, value = job.value, in_share = job.in_share,
                    cores = capacity.cores, coming = capacity.incoming, waiting = waiting.len(),
                    work_ahead = basis.work_ahead, wait_s = basis.wait, slack_s = basis.slack,
                    late_anyway = basis.late_anyway, returning, retry_after_ms;
                    "job refused"
                );
                self.load_shedding.first_submitted.insert(id, since_ms);
                let known = self.load_shedding.pools.entry(pool).or_default();
                known
                    .returning
                    .push_back((now.wall_ms.saturating_add(retry_after_ms), work));
                known.stats.refused_late += u64::from(basis.late_anyway);
                known.stats.refused_for_others += u64::from(!basis.late_anyway);
                Reply::Refused(Refusal::Busy { retry_after_ms })
            }
        }
    }

    /// Returns the work of refused jobs whose callers have not been asked to be back yet.
    fn returning_work(&mut self, now: Moment, pool: &Arc<str>) -> f64 {
        let Some(known) = self.load_shedding.pools.get_mut(pool) else {
            return 0.0;
        };
        known
            .returning
            .retain(|(back_ms, _)| *back_ms > now.wall_ms);
        known.returning.iter().map(|(_, work)| work).sum()
    }

    /// Returns the value of a waiting job per core-second.
    pub(super) fn value_density(&self, id: JobId) -> f64 {
        let job = self.pending_jobs.get(&id);
        job.map_or(0.0, |job| {
            let values = self.job_values(job.queue, job.priority);
            values.of(job.total_work) / job.work.max(1e-3)
        })
    }

    /// Sorts jobs so that as many as possible are on time; the baseline of Moore and Hodgson, to
    /// which all jobs are worth the same.
    pub(super) fn most_on_time(&self, now: Moment, ids: Vec<JobId>) -> Vec<JobId> {
        let Some(job) = ids.first().and_then(|id| self.pending_jobs.get(id)) else {
            return ids;
        };
        let backlog = self.backlog(now, &job.pool, Duration::MAX);
        let capacity = PoolCapacity {
            cores: backlog.cores,
            incoming: backlog.incoming,
        };
        let mut jobs = self.waiting_jobs(now, &ids);
        for job in &mut jobs {
            job.value = 1.0;
        }
        let order = shed_order(&jobs, &capacity).into_iter();
        order.map(|(index, _)| jobs[index].id).collect()
    }
}

/// Returns the seconds until a time in milliseconds since the Unix epoch, negative if it has passed.
#[expect(clippy::cast_precision_loss, reason = "milliseconds of a job")]
fn seconds_until(now: Moment, at_ms: u64) -> f64 {
    (at_ms as f64 - now.wall_ms as f64) / 1_000.0
}
