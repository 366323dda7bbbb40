//! Jobs in the replicated state.

use serde::{Deserialize, Serialize};

use super::gang_failures::GangFailures;
use super::{EndKind, OccurrenceRecord, TaskRecord};
use crate::job::{JobSpec, RunId, StepSpec, TaskId};
use crate::queue::{QueueId, WorkspaceId};

/// Record of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Queue that the job was submitted to.
    pub queue: QueueId,
    /// The job as submitted; `None` once the job has ended and has no runs.
    pub spec: Option<JobSpec>,
    /// Records of the tasks by occurrence; empty once the job has ended and has no runs.
    pub occurrences: Vec<OccurrenceRecord>,
    /// Wall-clock time when the job was accepted, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Whether the job is open, and how it ended otherwise.
    pub phase: JobPhase,
    /// Whether any run was ever recorded.
    pub started: bool,
    /// Number of runs that have not ended.
    pub active_runs: u32,
    /// Wall-clock time when the job ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// Workspace that the job belongs to; `None` if it was submitted without a key. Encoded after
    /// the rest of the state.
    #[serde(skip)]
    pub workspace: Option<WorkspaceId>,
    /// Whether an executor has begun any task, as far as is known. Encoded after the rest of the
    /// state.
    #[serde(skip)]
    pub begun: bool,
    /// Failed runs of gangs; see [`EndKind::MemberFailed`]. Encoded after the rest of the state.
    #[serde(skip)]
    pub(super) gang_failures: GangFailures,
}

/// Whether a job is open, and how it ended otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// The job has not ended.
    Open,
    /// All tasks are done.
    Completed,
    /// A task, or a gang, used up its attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

/// Status of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No executor has begun a task yet.
    Queued,
    /// An executor has begun at least one task.
    Running,
    /// All tasks are done.
    Completed,
    /// A task, or a gang, used up its attempts.
    Failed,
    /// A caller cancelled the job.
    Cancelled,
}

impl JobPhase {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

impl JobRecord {
    pub(super) fn new(queue: QueueId, spec: JobSpec, accepted_ms: u64) -> Self {
        let occurrences = (0..spec.occurrences())
            .map(|_| OccurrenceRecord::new(&spec))
            .collect();
        Self {
            queue,
            spec: Some(spec),
            occurrences,
            accepted_ms,
            phase: JobPhase::Open,
            started: false,
            active_runs: 0,
            ended_ms: None,
            workspace: None,
            begun: false,
            gang_failures: GangFailures::default(),
        }
    }

    /// Returns the status as reported to callers.
    pub const fn status(&self) -> JobStatus {
        match self.phase {
            JobPhase::Open if self.begun => JobStatus::Running,
            JobPhase::Open => JobStatus::Queued,
            JobPhase::Completed => JobStatus::Completed,
            JobPhase::Failed => JobStatus::Failed,
            JobPhase::Cancelled => JobStatus::Cancelled,
        }
    }

    /// Returns the record of a task, or `None` if the job has no such task.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        let occurrence = self.occurrences.get(task.occurrence as usize)?;
        let step = occurrence.steps.get(usize::from(task.step))?;
        step.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskRecord> {
        let occurrence = self.occurrences.get_mut(task.occurrence as usize)?;
        let step = occurrence.steps.get_mut(usize::from(task.step))?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Returns whether a task runs until its job is cancelled.
    pub(super) fn is_long_running(&self, task: TaskId) -> bool {
        self.step_of(task).is_some_and(|step| step.long_running)
    }

    /// Returns whether a task is a member of a gang whose attempts are limited, as those of a
    /// long-running one are not.
    pub(super) fn shares_attempts(&self, task: TaskId) -> bool {
        let step = self.step_of(task);
        step.is_some_and(|step| step.gang && !step.long_running)
    }

    fn step_of(&self, task: TaskId) -> Option<&StepSpec> {
        self.spec.as_ref()?.steps.get(usize::from(task.step))
    }

    /// Returns whether a run is still needed: the job is open and the run's task is not done.
    pub fn needs(&self, run: RunId) -> bool {
        let open = self.phase == JobPhase::Open;
        open && self.task(run.task).is_some_and(|task| !task.done)
    }

    /// Removes a run that has ended; returns whether the record had it.
    pub(super) fn remove_run(&mut self, run: RunId) -> bool {
        let Some(task) = self.task_mut(run.task) else {
            return false;
        };
        let before = task.runs.len();
        task.runs.retain(|(number, _)| *number != run.number);
        let present = task.runs.len() < before;
        if present {
            self.active_runs = self.active_runs.saturating_sub(1);
        }
        present
    }

    /// Updates tasks and job after the end of a run that was removed.
    pub(super) fn apply_end(&mut self, run: RunId, kind: EndKind, max_attempts: u32, at_ms: u64) {
        let Some(spec) = &self.spec else {
            return;
        };
        let (gang, long_running) = {
            let step = &spec.steps[usize::from(run.task.step)];
            (step.gang, step.long_running)
        };
        self.begun |= kind == EndKind::Done;
        match kind {
            EndKind::Done if long_running => {}
            EndKind::Done => self.mark_done(run.task, gang, at_ms),
            EndKind::Failed | EndKind::MemberFailed => {
                let counts = self.record_failure(run, kind);
                let failures = self.attempts(run.task).filter(|_| counts && !long_running);
                if failures.is_some_and(|failures| failures >= max_attempts) {
                    self.end(JobPhase::Failed, at_ms);
                }
            }
            _ => {}
        }
    }

    /// Records a failed end; returns whether it counts as an attempt.
    ///
    /// Members of a gang may still fail after another one has completed it.
    fn record_failure(&mut self, run: RunId, kind: EndKind) -> bool {
        let is_member = kind == EndKind::MemberFailed;
        let task = self.task_mut(run.task);
        let Some(task) = task.filter(|task| !is_member || !task.done) else {
            return false;
        };
        task.failures += 1;
        !is_member || self.gang_failures.record(run)
    }

    /// Returns the number of failed attempts of a task, or of its gang, or `None` if the job has no
    /// such task any more.
    pub(super) fn attempts(&self, task: TaskId) -> Option<u32> {
        let step = self.step_of(task)?;
        let record = self.task(task)?;
        Some(if step.gang {
            let repeated = self.gang_failures.repeated(task);
            self.failed_ends_of_gang(task).saturating_sub(repeated)
        } else {
            record.failures
        })
    }

    /// Returns the number of failed ends of all members of a task's gang.
    fn failed_ends_of_gang(&self, task: TaskId) -> u32 {
        let occurrence = self.occurrences.get(task.occurrence as usize);
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        let tasks = step.into_iter().flat_map(|step| &step.tasks);
        tasks.map(|task| task.failures).sum()
    }

    /// Marks a task as done, or its whole gang; the job completes with its last task.
    fn mark_done(&mut self, task: TaskId, gang: bool, at_ms: u64) {
        let Some(occurrence) = self.occurrences.get_mut(task.occurrence as usize) else {
            return;
        };
        let step = &mut occurrence.steps[usize::from(task.step)];
        if gang {
            step.tasks.iter_mut().for_each(|task| task.done = true);
            step.remaining = 0;
        } else if let Some(task) = step.tasks.get_mut(task.index as usize)
            && !task.done
        {
            task.done = true;
            step.remaining -= 1;
        }
        let mut steps = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps);
        if steps.all(|step| step.remaining == 0) {
            self.end(JobPhase::Completed, at_ms);
        }
    }

    /// Ends the job unless it has ended already.
    pub(super) fn end(&mut self, phase: JobPhase, at_ms: u64) {
        if self.phase == JobPhase::Open {
            self.phase = phase;
            self.ended_ms = Some(at_ms);
        }
    }

    /// Frees the specification and the tasks of a job that has ended and has no runs.
    pub(super) fn release_spec(&mut self) {
        if self.phase != JobPhase::Open && self.active_runs == 0 {
            self.spec = None;
            self.occurrences = Vec::new();
            self.gang_failures = GangFailures::default();
        }
    }
}
