//! The checker.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec, TaskId};
use masticfield_jobs::state::{EndKind, JobStatus};

use super::configs::{Configs, Presence};
use super::job_view::JobView;
use super::task_view::{EndState, EndView, TaskView};
use super::{Bounds, ExecutorNumber, Observation, Promise, SubmitAnswer, Violation};

/// Numbers of what was observed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs of which every attempt was refused.
    pub refused: u64,
    /// Jobs that callers saw completed.
    pub completed: u64,
    /// Jobs that callers saw failed.
    pub failed: u64,
    /// Cancellations that were acknowledged.
    pub cancelled: u64,
    /// Runs that started.
    pub starts: u64,
    /// Configurations that were acknowledged.
    pub configs: u64,
    /// Times that the configuration was read.
    pub config_reads: u64,
}

/// An executor that is up.
#[derive(Debug)]
struct ExecutorView {
    pool: Arc<str>,
    capacity: Resources,
    running: BTreeMap<RunId, Resources>,
}

/// Checks observations in the order in which they were made.
#[derive(Debug)]
pub struct Checker {
    bounds: Bounds,
    jobs: BTreeMap<JobId, JobView>,
    tasks: BTreeMap<TaskId, TaskView>,
    executors: BTreeMap<ExecutorNumber, ExecutorView>,
    configs: Configs,
    active_faults: u32,
    last_fault_ended: u64,
    violations: Vec<Violation>,
    counts: Counts,
}

impl Checker {
    /// Creates a checker that has observed nothing.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            executors: BTreeMap::new(),
            configs: Configs::default(),
            active_faults: 0,
            last_fault_ended: 0,
            violations: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// The violations so far.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// What was observed so far.
    pub fn counts(&self) -> Counts {
        let jobs = self.jobs.values();
        let of = |status| {
            let jobs = jobs.clone().filter(|job| job.status == Some(status));
            jobs.count() as u64
        };
        Counts {
            accepted: jobs.clone().filter(|job| job.accepted_at.is_some()).count() as u64,
            refused: jobs.clone().filter(|job| job.is_refused()).count() as u64,
            completed: of(JobStatus::Completed),
            failed: of(JobStatus::Failed),
            ..self.counts
        }
    }

    /// The jobs that must still end, and the last status that callers saw.
    pub fn unfinished(&self) -> Vec<(JobId, Option<JobStatus>)> {
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|(_, job)| job.is_owed() && !job.has_ended());
        jobs.map(|(id, job)| (*id, job.status)).collect()
    }

    /// The step of a task, if its job was sent.
    pub fn step(&self, task: TaskId) -> Option<&StepSpec> {
        let job = self.jobs.get(&task.job)?;
        job.spec.steps.get(usize::from(task.step))
    }

    /// Checks and records an observation that was made at a time, in milliseconds since the start.
    pub fn observe(&mut self, at: u64, observation: Observation) {
        match observation {
            Observation::SubmitSent {
                job,
                queue,
                pool,
                spec,
            } => self.submit_sent(job, queue, pool, spec),
            Observation::SubmitAnswered {
                job,
                sent_at,
                answer,
            } => self.submit_answered(at, job, sent_at, answer),
            Observation::CancelSent { job } => {
                self.job(job, |view| view.cancel_sent = true);
            }
            Observation::CancelAcknowledged { job } => {
                self.counts.cancelled += 1;
                self.job(job, |view| {
                    view.cancelled_at.get_or_insert(at);
                });
            }
            Observation::StatusSeen { job, status } => self.status_seen(at, job, status),
            Observation::StatusGone { job, sent_at } => self.status_gone(at, job, sent_at),
            Observation::ExecutorUp {
                executor,
                pool,
                capacity,
            } => {
                let view = ExecutorView {
                    pool,
                    capacity,
                    running: BTreeMap::new(),
                };
                self.executors.insert(executor, view);
            }
            Observation::ExecutorGone { executor } => self.executor_gone(executor),
            Observation::RunStarted {
                executor,
                run,
                payload,
            } => self.run_started(at, executor, run, &payload),
            Observation::RunEnded {
                executor,
                run,
                number,
                kind,
            } => self.run_ended(executor, run, number, kind),
            Observation::LeaseExpired { executor } => self.lease_expired(executor),
            Observation::EndsAcknowledged { executor, up_to } => {
                self.ends_acknowledged(at, executor, up_to);
            }
            Observation::ConfigSent {
                version,
                valid,
                queues,
            } => self.configs.send(version, valid, queues),
            Observation::ConfigAcknowledged { version } => {
                self.counts.configs += 1;
                if !self.configs.acknowledge(at, version) {
                    let seen = format!("the invalid configuration {version} is acknowledged");
                    self.violate(at, Promise::ConfigIsJudgedRight, seen);
                }
            }
            Observation::ConfigRefused { version } => {
                if self.configs.is_valid(version) {
                    let seen = format!("the valid configuration {version} is refused");
                    self.violate(at, Promise::ConfigIsJudgedRight, seen);
                }
            }
            Observation::ConfigRead {
                version,
                sent_at,
                intact,
            } => self.config_read(at, version, sent_at, intact),
            Observation::ProgramEnded { name } => {
                let seen = format!("{name} ended although nothing was done to it");
                self.violate(at, Promise::ProgramsKeepRunning, seen);
            }
            Observation::FaultBegan => self.active_faults += 1,
            Observation::FaultEnded => {
                self.active_faults = self.active_faults.saturating_sub(1);
                self.last_fault_ended = at;
            }
            Observation::NotRecovered { what } => {
                self.violate(at, Promise::Recovers, what.to_string());
            }
            Observation::RunOver => self.run_over(at),
        }
    }

    fn violate(&mut self, at_ms: u64, promise: Promise, seen: String) {
        self.violations.push(Violation {
            at_ms,
            promise,
            seen,
        });
    }

    fn job(&mut self, id: JobId, change: impl FnOnce(&mut JobView)) {
        if let Some(view) = self.jobs.get_mut(&id) {
            change(view);
        }
    }

    /// Whether the programs were undisturbed from `since` on, and for the contact time before.
    const fn calm_since(&self, since: u64) -> bool {
        self.active_faults == 0 && self.last_fault_ended + self.bounds.contact_ms <= since
    }

    fn submit_sent(&mut self, job: JobId, queue: Arc<str>, pool: Arc<str>, spec: Arc<JobSpec>) {
        let new = || JobView::new(spec, queue, pool);
        self.jobs.entry(job).or_insert_with(new).open_attempts += 1;
    }

    fn submit_answered(&mut self, at: u64, job: JobId, sent_at: u64, answer: SubmitAnswer) {
        let calm = self.calm_since(sent_at);
        let lowest = self.configs.lowest_in_force(sent_at, self.bounds.config_ms);
        let Some(view) = self.jobs.get_mut(&job) else {
            return;
        };
        view.open_attempts = view.open_attempts.saturating_sub(1);
        match answer {
            SubmitAnswer::Accepted => {
                view.accepted_at.get_or_insert(at);
            }
            SubmitAnswer::Unknown => view.unknown = true,
            SubmitAnswer::Refused | SubmitAnswer::NoQueue => {}
        }
        let (refused_after_start, queue) =
            (view.started && view.is_refused(), Arc::clone(&view.queue));
        if refused_after_start {
            let seen = format!("{job} has started, and every attempt was refused");
            self.violate(at, Promise::RefusedNeverStarts, seen);
        }
        let wrong = match (answer, self.configs.presence(lowest, &queue)) {
            (SubmitAnswer::NoQueue, Presence::Present) => "is not found",
            (SubmitAnswer::Accepted, Presence::Absent) => "takes a job",
            _ => return,
        };
        if calm {
            let seen = format!(
                "queue {queue} {wrong} by a request of {sent_at} ms, when configuration {lowest} \
                 was in force"
            );
            self.violate(at, Promise::QueuesFollowConfig, seen);
        }
    }

    fn status_seen(&mut self, at: u64, id: JobId, status: JobStatus) {
        let Some(view) = self.jobs.get_mut(&id) else {
            return;
        };
        if view.status == Some(status) {
            return;
        }
        view.status = Some(status);
        let (spec, cancel_sent) = (Arc::clone(&view.spec), view.cancel_sent);
        let tasks = tasks_of(id, &spec);
        let max_attempts = self.bounds.max_attempts as usize;
        let wrong = match status {
            JobStatus::Completed => tasks
                .into_iter()
                .find(|task| !self.has_ended(*task, EndKind::Done))
                .map(|task| format!("{id} is shown as completed, and {task} is not done")),
            JobStatus::Failed => {
                let failed = |task: TaskId| {
                    let view = self.tasks.get(&task);
                    view.is_some_and(|view| view.count(EndKind::Failed) >= max_attempts)
                };
                (!tasks.into_iter().any(failed))
                    .then(|| format!("{id} is shown as failed, and no task failed too often"))
            }
            JobStatus::Cancelled if !cancel_sent => Some(format!(
                "{id} is shown as cancelled, and nobody cancelled it"
            )),
            _ => None,
        };
        if let Some(seen) = wrong {
            self.violate(at, Promise::StatusIsTrue, seen);
        }
    }

    fn status_gone(&mut self, at: u64, id: JobId, sent_at: u64) {
        let Some(accepted_at) = self.jobs.get(&id).filter(|job| job.is_owed()) else {
            return;
        };
        let accepted_at = accepted_at.accepted_at.unwrap_or(at);
        if sent_at > accepted_at + self.bounds.visible_ms && self.calm_since(sent_at) {
            let seen = format!("{id} was accepted at {accepted_at} ms and is not known");
            self.violate(at, Promise::AcceptedJobIsKnown, seen);
        }
    }

    fn has_ended(&self, task: TaskId, kind: EndKind) -> bool {
        let view = self.tasks.get(&task);
        view.is_some_and(|view| view.has_ended(kind))
    }

    fn run_started(&mut self, at: u64, executor: ExecutorNumber, run: RunId, payload: &str) {
        self.counts.starts += 1;
        self.check_task(at, executor, run);
        let task = run.task;
        let need = self.step(task).map(StepSpec::reserved);
        let job = self.jobs.get(&task.job);
        if need.is_none() || job.is_none_or(|job| &*job.spec.payload != payload) {
            let seen = format!("{run} is not what a caller sent");
            self.violate(at, Promise::OnlySentJobsStart, seen);
            return;
        }
        self.check_job(at, run);
        self.job(task.job, |job| job.started = true);
        self.check_executor(at, executor, run, need.unwrap_or_default());
        let view = self.tasks.entry(task).or_default();
        view.running.push((executor, run.number));
        for end in &mut view.ends {
            end.restarted_at.get_or_insert(at);
        }
    }

    /// Checks a start against other runs of its task.
    fn check_task(&mut self, at: u64, executor: ExecutorNumber, run: RunId) {
        let max_attempts = self.bounds.max_attempts as usize;
        let Some(view) = self.tasks.get(&run.task) else {
            return;
        };
        let mut found = Vec::new();
        if let Some((other, number)) = view.running.first() {
            let seen = format!(
                "{run} started on {executor:?} while run {number} is in progress on {other:?}"
            );
            found.push((Promise::OneRunAtATime, seen));
        }
        if view.acknowledged(EndKind::Done) > 0 {
            let seen =
                format!("{run} started on {executor:?} after its end `done` was acknowledged");
            found.push((Promise::DoneOnce, seen));
        }
        if view.acknowledged(EndKind::Failed) >= max_attempts {
            let seen = format!("{run} started on {executor:?} after {max_attempts} failures");
            found.push((Promise::AttemptsAreBounded, seen));
        }
        for (promise, seen) in found {
            self.violate(at, promise, seen);
        }
    }

    /// Checks a start against the state of its job.
    fn check_job(&mut self, at: u64, run: RunId) {
        let task = run.task;
        let (Some(job), Some(step)) = (self.jobs.get(&task.job), self.step(task)) else {
            return;
        };
        let mut found = Vec::new();
        let dependencies = step.depends_on.iter().flat_map(|dependency| {
            let count = job.spec.steps[usize::from(*dependency)].count;
            (0..count).map(|index| TaskId::new(task.job, task.occurrence, *dependency, index))
        });
        let open = dependencies
            .into_iter()
            .find(|task| !self.has_ended(*task, EndKind::Done));
        if let Some(open) = open {
            let seen = format!("{run} started before {open} was done");
            found.push((Promise::StepsInOrder, seen));
        }
        if job.is_refused() {
            let seen = format!("{run} started, and every attempt to hand its job in was refused");
            found.push((Promise::RefusedNeverStarts, seen));
        }
        if let Some(cancelled_at) = job.cancelled_at {
            let calm = self.calm_since(cancelled_at);
            let bound = if calm {
                self.bounds.cancel_ms
            } else {
                self.bounds.cancel_always_ms
            };
            if at > cancelled_at + bound {
                let seen = format!("{run} started; its job was cancelled at {cancelled_at} ms");
                found.push((Promise::CancelledJobStops, seen));
            }
        }
        for (promise, seen) in found {
            self.violate(at, promise, seen);
        }
    }

    /// Checks a start against its executor.
    fn check_executor(&mut self, at: u64, executor: ExecutorNumber, run: RunId, need: Resources) {
        let pool = self
            .jobs
            .get(&run.task.job)
            .map(|job| Arc::clone(&job.pool));
        let Some(view) = self.executors.get_mut(&executor) else {
            return;
        };
        view.running.insert(run, need);
        let used = view.running.values();
        let used = used.fold(Resources::default(), |used, need| {
            used.saturating_add(*need)
        });
        let (fits, capacity) = (view.capacity.covers(used), view.capacity);
        let wrong_pool = pool.is_some_and(|pool| pool != view.pool);
        if !fits {
            let seen = format!("{run} takes {executor:?} to {used:?} of {capacity:?}");
            self.violate(at, Promise::CapacityIsKept, seen);
        }
        if wrong_pool {
            let seen = format!("{run} started on {executor:?}, which is of another pool");
            self.violate(at, Promise::PoolIsKept, seen);
        }
    }

    fn run_ended(&mut self, executor: ExecutorNumber, run: RunId, number: u64, kind: EndKind) {
        if let Some(view) = self.executors.get_mut(&executor) {
            view.running.remove(&run);
        }
        let view = self.tasks.entry(run.task).or_default();
        view.running
            .retain(|running| *running != (executor, run.number));
        view.ends.push(EndView {
            executor,
            number,
            kind,
            run: run.number,
            state: EndState::Listed,
            restarted_at: None,
        });
    }

    fn executor_gone(&mut self, executor: ExecutorNumber) {
        self.executors.remove(&executor);
        for view in self.tasks.values_mut() {
            view.running.retain(|(running, _)| *running != executor);
            void_ends(view, executor);
        }
    }

    fn lease_expired(&mut self, executor: ExecutorNumber) {
        for view in self.tasks.values_mut() {
            void_ends(view, executor);
        }
    }

    fn ends_acknowledged(&mut self, at: u64, executor: ExecutorNumber, up_to: u64) {
        let mut found = Vec::new();
        for (task, view) in &mut self.tasks {
            let ends = view.ends.iter_mut();
            let ends = ends.filter(|end| end.executor == executor && end.number <= up_to);
            for end in ends.filter(|end| end.state == EndState::Listed) {
                end.state = EndState::Acknowledged;
                if let (EndKind::Done, Some(restarted_at)) = (end.kind, end.restarted_at) {
                    let run = task.run(end.run);
                    found.push(format!(
                        "{run} was done on {executor:?}, started again at {restarted_at} ms, and \
                         its end is acknowledged"
                    ));
                }
            }
        }
        for seen in found {
            self.violate(at, Promise::DoneOnce, seen);
        }
    }

    fn config_read(&mut self, at: u64, version: u64, sent_at: u64, intact: bool) {
        self.counts.config_reads += 1;
        let lowest = self.configs.lowest_in_force(sent_at, self.bounds.config_ms);
        if version < lowest {
            let seen = format!(
                "configuration {version} is read by a request of {sent_at} ms, and {lowest} was \
                 acknowledged before"
            );
            self.violate(at, Promise::ConfigNeverGoesBack, seen);
        }
        if !intact || !self.configs.is_valid(version) {
            let seen = format!("configuration {version} is not read as it was sent");
            self.violate(at, Promise::ConfigIsIntact, seen);
        }
    }

    fn run_over(&mut self, at: u64) {
        for (id, status) in self.unfinished() {
            let seen = format!("{id} was accepted and is last seen as {status:?}");
            self.violate(at, Promise::AcceptedJobEnds, seen);
        }
    }
}

/// Ends that were not acknowledged while the lease held do not bind the programs.
fn void_ends(view: &mut TaskView, executor: ExecutorNumber) {
    let ends = view.ends.iter_mut();
    let listed = ends.filter(|end| end.executor == executor && end.state == EndState::Listed);
    for end in listed {
        end.state = EndState::Void;
    }
}

fn tasks_of(job: JobId, spec: &JobSpec) -> Vec<TaskId> {
    let steps = spec.steps.iter().zip(0_u16..);
    let tasks = steps.flat_map(|(step, number)| {
        (0..step.count).map(move |index| TaskId::new(job, 0, number, index))
    });
    tasks.collect()
}
