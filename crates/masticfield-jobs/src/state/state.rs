//! The replicated state machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::crashes::{Crashes, Suspects};
use super::workspaces::Workspaces;
use super::{
    Attempts, ClaimTimes, Command, ConfigAccess, CrashedRun, EndKind, ExecutorIncarnation,
    ExecutorKey, ExecutorRecord, HostClaim, JobPhase, JobRecord, Wave, WaveOrder,
};
use crate::job::{JobId, RunId, TaskId};
use crate::queue::{ConfigContent, QueueConfig, QueueId, QueuesConfig, RouteTable, WorkspaceId};

/// The replicated state; changes only by [`State::apply`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    pub(super) config: Option<StoredConfig>,
    /// Authority and path prefix of every queue that was ever configured, by [`QueueId`].
    queue_routes: Vec<(Arc<str>, Arc<str>)>,
    /// Latest configuration of each queue, including queues that were removed since.
    pub(super) queues: BTreeMap<QueueId, QueueConfig>,
    pub(super) jobs: BTreeMap<JobId, JobRecord>,
    pub(super) executors: BTreeMap<ExecutorKey, ExecutorRecord>,
    /// Highest key that an executor has had.
    last_executor: u32,
    waves: BTreeMap<u64, Wave>,
    /// Outstanding requests to the platform by host, with the executor that each one ends.
    claims: BTreeMap<Arc<str>, (HostClaim, Option<ExecutorKey>)>,
    /// Encoded after the rest; see [`State::to_snapshot`].
    #[serde(skip)]
    pub(super) crashes: Crashes,
    /// Executors whose announcements are overdue. Encoded after the rest.
    #[serde(skip)]
    pub(super) overdue: BTreeSet<ExecutorKey>,
    /// Times at which hosts were last claimed. Encoded after the rest.
    #[serde(skip)]
    pub(super) claim_times: ClaimTimes,
    /// Runs that are on the incarnation that they were placed on; see [`Command::Located`]. Encoded
    /// after the rest.
    #[serde(skip)]
    pub(super) located: BTreeSet<RunId>,
    /// Executors that may hold a lease by calls for former incarnations; see
    /// [`Command::FormerLeases`]. Encoded after the rest.
    #[serde(skip)]
    pub(super) former_leases: BTreeSet<ExecutorKey>,
    /// Latest start of an incarnation that was removed, by the executor's identifier; see
    /// [`Command::Removed`]. Encoded after the rest.
    #[serde(skip)]
    pub(super) removed: BTreeMap<Arc<str>, u64>,
    /// Encoded after the rest.
    #[serde(skip)]
    pub(super) workspaces: Workspaces,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredConfig {
    /// The decoded configuration.
    pub config: Arc<QueuesConfig>,
    /// The configuration as the operator sent it.
    pub content: ConfigContent,
}

impl State {
    /// Returns the configuration in force, or `None` before the first one.
    pub const fn config(&self) -> Option<&StoredConfig> {
        self.config.as_ref()
    }

    /// Returns the version of the configuration in force, or 0 before the first one.
    pub fn version(&self) -> u64 {
        self.config
            .as_ref()
            .map_or(0, |stored| stored.config.version)
    }

    /// Returns the identifier of the queue with an authority and a path prefix, or `None` if no
    /// such queue was ever configured.
    pub fn queue_id(&self, authority: &str, prefix: &str) -> Option<QueueId> {
        let mut routes = (0..).zip(&self.queue_routes);
        let is_match = |route: &(Arc<str>, Arc<str>)| *route.0 == *authority && *route.1 == *prefix;
        routes
            .find(|(_, route)| is_match(route))
            .map(|(number, _)| QueueId(number))
    }

    /// Creates the route table of a configuration that is or was in force.
    pub fn route_table(&self, config: &QueuesConfig) -> RouteTable {
        let routes = (0..).zip(&self.queue_routes);
        let ids: BTreeMap<_, _> = routes
            .map(|(number, (authority, prefix))| ((authority, prefix), QueueId(number)))
            .collect();
        RouteTable::new(config, |authority, prefix| {
            ids.get(&(authority, prefix)).copied()
        })
    }

    /// Returns the latest configuration of a queue, even if the queue was removed since.
    pub fn queue(&self, queue: QueueId) -> Option<&QueueConfig> {
        self.queues.get(&queue)
    }

    /// Returns all jobs, including ended ones that are not forgotten yet.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &JobRecord)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Returns the record of a job.
    pub fn job(&self, job: JobId) -> Option<&JobRecord> {
        self.jobs.get(&job)
    }

    /// Returns all executor incarnations that have not been retired.
    pub fn executors(&self) -> impl Iterator<Item = (ExecutorKey, &ExecutorRecord)> {
        self.executors
            .iter()
            .map(|(key, executor)| (*key, executor))
    }

    /// Returns the record of an executor incarnation.
    pub fn executor(&self, executor: ExecutorKey) -> Option<&ExecutorRecord> {
        self.executors.get(&executor)
    }

    /// Returns the latest start of an incarnation of an executor that was removed.
    pub fn removed(&self, id: &str) -> Option<u64> {
        self.removed.get(id).copied()
    }

    /// Returns the identifiers of executors of which an incarnation was removed, with its start.
    pub fn removed_incarnations(&self) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let removed = self.removed.iter();
        removed.map(|(id, started_ms)| (id, *started_ms))
    }

    /// Returns the key for the next executor to enlist.
    pub const fn next_executor_key(&self) -> ExecutorKey {
        ExecutorKey(self.last_executor + 1)
    }

    /// Returns all waves of upkeep, by number.
    pub const fn waves(&self) -> &BTreeMap<u64, Wave> {
        &self.waves
    }

    /// Returns the outstanding requests to the platform by host, each with the executor that ends
    /// when it is carried out.
    pub const fn claims(&self) -> &BTreeMap<Arc<str>, (HostClaim, Option<ExecutorKey>)> {
        &self.claims
    }

    /// Returns the times at which hosts were last claimed.
    pub const fn claim_times(&self) -> &ClaimTimes {
        &self.claim_times
    }

    /// Returns whether a task may have crashed the executors that it was started on: its job should
    /// start it where no other job can be at fault.
    pub fn is_suspected(&self, task: TaskId) -> bool {
        self.crashes.is_suspected(task)
    }

    /// Returns the number of executors that crashed while they ran a task, and of those in a row at
    /// whose crash the task was suspected.
    pub fn crashes(&self, task: TaskId) -> (u32, u32) {
        self.crashes.of_task(task)
    }

    /// Returns whether a run is the latest that was counted as one of an executor that crashed.
    pub fn is_latest_crash(&self, run: RunId) -> bool {
        self.crashes.is_latest(run)
    }

    /// Returns whether any task of a job is suspected; see [`is_suspected`](Self::is_suspected).
    pub fn has_suspects(&self, job: JobId) -> bool {
        self.crashes.has_suspects(job)
    }

    /// Returns whether executors of any task of a job have crashed, so that its next start may be
    /// delayed.
    pub fn has_crashes(&self, job: JobId) -> bool {
        self.crashes.has_tasks_of(job)
    }

    /// Returns the time by which the next start of a task is delayed after the latest crash of its
    /// executor, in milliseconds.
    ///
    /// `further` is the number of executors that may have crashed right after a start besides.
    pub fn restart_delay_ms(&self, task: TaskId, further: u32) -> u64 {
        let job = self.jobs.get(&task.job);
        let long_running = job.is_some_and(|job| job.is_long_running(task));
        self.crashes.delay_ms(task, further, long_running)
    }

    /// Returns the tasks whose executors have crashed, with the wall-clock time of the latest crash in
    /// milliseconds since the Unix epoch.
    pub fn latest_crashes(&self) -> impl Iterator<Item = (TaskId, u64)> {
        let latest = self.crashes.latest.iter();
        latest.map(|(task, latest)| (*task, latest.at_ms))
    }

    /// Returns the failed attempts of a task and their limit, or `None` if its job has ended and has
    /// no runs.
    pub fn attempts(&self, task: TaskId) -> Option<Attempts> {
        let job = self.jobs.get(&task.job)?;
        let queue = self.queues.get(&job.queue);
        Some(Attempts {
            failures: job.attempts(task)?,
            limit: max_attempts(queue),
            is_configured: queue.is_some(),
        })
    }

    /// Returns whether the failed ends of a task are recorded as those of a member of its gang; see
    /// [`EndKind::MemberFailed`].
    pub fn shares_attempts(&self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|job| job.shares_attempts(task))
    }

    /// Returns whether announcements of an executor are overdue.
    pub fn is_overdue(&self, executor: ExecutorKey) -> bool {
        self.overdue.contains(&executor)
    }

    /// Returns whether a run is known to be on the incarnation that it was placed on, with no order to
    /// start it that may still be carried out.
    pub fn is_located(&self, run: RunId) -> bool {
        self.located.contains(&run)
    }

    /// Returns whether an executor may hold a lease that calls for a former incarnation have granted.
    pub fn may_have_former_leases(&self, executor: ExecutorKey) -> bool {
        self.former_leases.contains(&executor)
    }

    /// Returns the runs whose leases expired soon after their start on an executor that has not been
    /// given a run since.
    pub fn lapsed_runs(&self, executor: ExecutorKey) -> impl Iterator<Item = RunId> {
        self.crashes.lapsed(executor)
    }

    /// Applies a command; returns whether it changed the state.
    pub fn apply(&mut self, command: Command) -> bool {
        match command {
            Command::Configure { config, content } => {
                self.configure(config, content, ConfigAccess::default())
            }
            Command::ConfigureAccess {
                config,
                content,
                access,
            } => self.configure(config, content, access),
            Command::Submit {
                job,
                queue,
                spec,
                at_ms,
            } => self.submit(job, JobRecord::new(queue, spec, at_ms), None),
            Command::SubmitFor {
                workspace,
                job,
                queue,
                spec,
                at_ms,
            } => self.submit(job, JobRecord::new(queue, spec, at_ms), Some(workspace)),
            Command::Cancel { job, at_ms } => self.cancel(job, at_ms),
            Command::Enlist {
                executor,
                incarnation,
            } => self.enlist(executor, incarnation),
            Command::Leaving { executor } => {
                let record = self.executors.get_mut(&executor);
                record.is_some_and(|record| !std::mem::replace(&mut record.leaving, true))
            }
            Command::Retire { executor, at_ms } => self.retire(executor, at_ms),
            Command::Start { run, executor } => self.start(run, executor),
            Command::End {
                run,
                executor,
                kind,
                saved,
                at_ms,
            } => self.end(run, executor, kind, saved, at_ms),
            Command::Wave { order, at_ms } => self.wave(order, at_ms),
            Command::UpkeepBegun { wave, host } => {
                let wave = self.waves.get_mut(&wave);
                wave.is_some_and(|wave| wave.remaining.remove(&host))
            }
            Command::Claim {
                host,
                claim,
                executor,
            } => self.claim(host, (claim, executor)),
            Command::Unclaim { host } => {
                let claimed = self.claims.remove(&host).is_some();
                if claimed {
                    self.claim_times.record(&host);
                }
                claimed
            }
            Command::Forget { before_ms } => self.forget(before_ms),
            Command::Crash { runs, at_ms } => self.crash(&runs, at_ms, Crashes::count_unisolated),
            Command::ExecutorCrash { runs, at_ms } => self.crash(&runs, at_ms, Crashes::count),
            Command::Resize { executor, capacity } => {
                let record = self.executors.get_mut(&executor);
                record.is_some_and(|record| {
                    let former = std::mem::replace(&mut record.incarnation.capacity, capacity);
                    former != capacity
                })
            }
            Command::Overdue { executor, overdue } => {
                let known = self.executors.contains_key(&executor);
                if overdue {
                    known && self.overdue.insert(executor)
                } else {
                    self.overdue.remove(&executor)
                }
            }
            Command::Survived { task } => self.survived(task),
            Command::Elapsed { ms } => {
                self.claim_times.advance(ms);
                true
            }
            Command::Reassign { run, from, to } => self.reassign(run, from, to),
            Command::Located { executor, runs } => self.locate(executor, &runs),
            Command::FormerLeases { executor, possible } => {
                if possible {
                    let known = self.executors.contains_key(&executor);
                    known && self.former_leases.insert(executor)
                } else {
                    self.former_leases.remove(&executor)
                }
            }
            Command::Removed { id, started_ms } => self.record_removed(id, started_ms),
            Command::ForgetRemoved { ids } => self.forget_removed(&ids),
            Command::Begun { job } => {
                let job = self.jobs.get_mut(&job);
                job.is_some_and(|job| !std::mem::replace(&mut job.begun, true))
            }
        }
    }

    fn submit(&mut self, id: JobId, job: JobRecord, workspace: Option<WorkspaceId>) -> bool {
        let new = !self.jobs.contains_key(&id);
        if new {
            self.jobs.insert(id, JobRecord { workspace, ..job });
        }
        new
    }

    fn configure(
        &mut self,
        mut config: QueuesConfig,
        content: ConfigContent,
        access: ConfigAccess,
    ) -> bool {
        if self.config.is_some() && config.version <= self.version() {
            return false;
        }
        access.restore(&mut config);
        self.workspaces.configure(config.workspaces.as_deref());
        for queue in &config.queues {
            let known = self.queue_id(&queue.authority, &queue.prefix);
            let id = known.unwrap_or_else(|| {
                let route = (Arc::clone(&queue.authority), Arc::clone(&queue.prefix));
                self.queue_routes.push(route);
                QueueId(u32::try_from(self.queue_routes.len() - 1).unwrap_or(u32::MAX))
            });
            self.queues.insert(id, queue.clone());
        }
        let config = Arc::new(config);
        self.config = Some(StoredConfig { config, content });
        true
    }

    fn cancel(&mut self, job: JobId, at_ms: u64) -> bool {
        let Some(record) = self.jobs.get_mut(&job) else {
            return false;
        };
        let open = record.phase == JobPhase::Open;
        record.end(JobPhase::Cancelled, at_ms);
        record.release_spec();
        self.crashes.forget_job(job);
        open
    }

    fn enlist(&mut self, key: ExecutorKey, incarnation: ExecutorIncarnation) -> bool {
        if key.0 <= self.last_executor {
            return false;
        }
        self.last_executor = key.0;
        let record = ExecutorRecord {
            incarnation,
            leaving: false,
            runs: BTreeSet::new(),
        };
        self.executors.insert(key, record);
        true
    }

    fn retire(&mut self, key: ExecutorKey, at_ms: u64) -> bool {
        let Some(record) = self.executors.remove(&key) else {
            return false;
        };
        self.crashes.forget_executor(key);
        self.overdue.remove(&key);
        self.former_leases.remove(&key);
        for run in record.runs {
            self.end_run(run, EndKind::Gone, None, at_ms);
        }
        true
    }

    fn record_removed(&mut self, id: Arc<str>, started_ms: u64) -> bool {
        let is_latest = self.removed(&id).is_none_or(|latest| latest < started_ms);
        if is_latest {
            self.removed.insert(id, started_ms);
        }
        is_latest
    }

    fn forget_removed(&mut self, ids: &[Arc<str>]) -> bool {
        let count = self.removed.len();
        for id in ids {
            self.removed.remove(id);
        }
        self.removed.len() < count
    }

    fn start(&mut self, run: RunId, executor: ExecutorKey) -> bool {
        let Some(record) = self.executors.get_mut(&executor) else {
            return false;
        };
        let job = self.jobs.get_mut(&run.task.job);
        let Some(job) = job.filter(|job| job.needs(run)) else {
            return false;
        };
        let Some(task) = job
            .task_mut(run.task)
            .filter(|task| run.number > task.last_run)
        else {
            return false;
        };
        task.last_run = run.number;
        task.runs.push((run.number, executor));
        job.started = true;
        job.active_runs += 1;
        self.workspaces.add_run(job, run);
        record.runs.insert(run);
        self.crashes.forget_executor(executor);
        true
    }

    fn reassign(&mut self, run: RunId, from: ExecutorKey, to: ExecutorKey) -> bool {
        if !self.executors.contains_key(&to) {
            return false;
        }
        let record = self.executors.get_mut(&from);
        if !record.is_some_and(|record| record.runs.remove(&run)) {
            return false;
        }
        if let Some(record) = self.executors.get_mut(&to) {
            record.runs.insert(run);
        }
        self.located.remove(&run);
        let job = self.jobs.get_mut(&run.task.job);
        let task = job.and_then(|job| job.task_mut(run.task));
        let runs = task.into_iter().flat_map(|task| &mut task.runs);
        for (_, executor) in runs.filter(|(number, _)| *number == run.number) {
            *executor = to;
        }
        true
    }

    fn locate(&mut self, executor: ExecutorKey, runs: &[RunId]) -> bool {
        let Some(record) = self.executors.get(&executor) else {
            return false;
        };
        let mut changed = false;
        for run in runs.iter().filter(|run| record.runs.contains(run)) {
            changed |= self.located.insert(*run);
        }
        changed
    }

    fn end(
        &mut self,
        run: RunId,
        executor: ExecutorKey,
        kind: EndKind,
        saved: Option<Arc<str>>,
        at_ms: u64,
    ) -> bool {
        let record = self.executors.get_mut(&executor);
        let removed = record.is_some_and(|record| record.runs.remove(&run));
        if removed {
            // A run whose location is recorded had lasted for a while before.
            if kind == EndKind::Lapsed && !self.located.contains(&run) {
                self.crashes.record_lapse(executor, run);
            }
            self.end_run(run, kind, saved, at_ms);
        }
        removed
    }

    fn end_run(&mut self, run: RunId, kind: EndKind, saved: Option<Arc<str>>, at_ms: u64) {
        self.located.remove(&run);
        let Some(job) = self.jobs.get_mut(&run.task.job) else {
            return;
        };
        if !job.remove_run(run) {
            return;
        }
        self.workspaces.remove_run(job, run);
        if let (Some(saved), Some(task)) = (saved, job.task_mut(run.task)) {
            task.saved = Some(saved);
        }
        let queue = self.queues.get(&job.queue);
        job.apply_end(run, kind, max_attempts(queue), at_ms);
        job.release_spec();
        let open = job.phase == JobPhase::Open;
        if !open {
            self.crashes.forget_job(run.task.job);
        } else if kind == EndKind::Done {
            self.crashes.forget_task(run.task);
        }
    }

    /// Counts the crash of an executor against its runs; `count` returns whether a task is given up.
    fn crash(
        &mut self,
        runs: &[CrashedRun],
        at_ms: u64,
        count: impl Fn(&mut Crashes, CrashedRun, Suspects, bool, u64) -> bool,
    ) -> bool {
        let suspects = Suspects::new(runs);
        let mut changed = false;
        for crashed in runs {
            let task = crashed.run.task;
            let job = self.jobs.get_mut(&task.job);
            let Some(job) = job.filter(|job| job.needs(crashed.run)) else {
                continue;
            };
            changed = true;
            let long_running = job.is_long_running(task);
            if count(&mut self.crashes, *crashed, suspects, long_running, at_ms) {
                job.end(JobPhase::Failed, at_ms);
                self.crashes.forget_job(task.job);
            }
        }
        changed
    }

    fn survived(&mut self, task: TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        let long_running = job.is_some_and(|job| job.is_long_running(task));
        self.crashes.record_survival(task, long_running)
    }

    fn wave(&mut self, order: WaveOrder, at_ms: u64) -> bool {
        if self.waves.contains_key(&order.number) {
            return false;
        }
        let wave = Wave {
            remaining: order.hosts.iter().cloned().collect(),
            started_ms: at_ms,
            order,
        };
        self.waves.insert(wave.order.number, wave);
        true
    }

    /// Stores a claim; a repeated one keeps the executor that it was first made for.
    fn claim(&mut self, host: Arc<str>, claim: (HostClaim, Option<ExecutorKey>)) -> bool {
        let same = self
            .claims
            .get(&host)
            .is_some_and(|stored| stored.0 == claim.0);
        if !same {
            self.claim_times.record(&host);
            self.claims.insert(host, claim);
        }
        !same
    }

    fn forget(&mut self, before_ms: u64) -> bool {
        let before = self.jobs.len();
        self.jobs.retain(|_, job| {
            job.active_runs > 0 || job.ended_ms.is_none_or(|ended| ended >= before_ms)
        });
        self.jobs.len() < before
    }
}

/// Returns the number of failed runs of a task with which a job of a queue fails.
///
/// A queue that has no configuration sets no limit: only the queue's own limit may end its jobs.
fn max_attempts(queue: Option<&QueueConfig>) -> u32 {
    let limit = queue.map_or(QueueConfig::NO_ATTEMPT_LIMIT, |queue| queue.max_attempts);
    limit.max(1)
}
