//! A job in the state.

use serde::{Deserialize, Serialize};

use super::{EndKind, OccurrenceRecord, TaskRecord};
use crate::job::{JobSpec, RunId, TaskId};
use crate::queue::QueueId;

/// A job in the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its queue.
    pub queue: QueueId,
    /// What was handed in; gone once the job has ended and nothing of it runs.
    pub spec: Option<JobSpec>,
    /// The occurrences; none once the job has ended and nothing of it runs.
    pub occurrences: Vec<OccurrenceRecord>,
    /// Time of day when it was stored, in milliseconds since the Unix epoch.
    pub accepted_ms: u64,
    /// Where it stands.
    pub phase: JobPhase,
    /// Whether a task was started.
    pub started: bool,
    /// Runs that may be under way.
    pub active_runs: u32,
    /// Time of day when it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobPhase {
    /// Not ended.
    Open,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
}

/// What a caller is told of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// No task was started.
    Queued,
    /// A task was started.
    Running,
    /// All tasks are done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Cancelled by a caller.
    Cancelled,
}

impl JobPhase {
    /// The name in logs and metrics.
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
        let rounds = (0..spec.occurrences())
            .map(|_| OccurrenceRecord::new(&spec))
            .collect();
        Self {
            queue,
            spec: Some(spec),
            occurrences: rounds,
            accepted_ms,
            phase: JobPhase::Open,
            started: false,
            active_runs: 0,
            ended_ms: None,
        }
    }

    /// What a caller is told.
    pub const fn status(&self) -> JobStatus {
        match self.phase {
            JobPhase::Open if self.started => JobStatus::Running,
            JobPhase::Open => JobStatus::Queued,
            JobPhase::Completed => JobStatus::Completed,
            JobPhase::Failed => JobStatus::Failed,
            JobPhase::Cancelled => JobStatus::Cancelled,
        }
    }

    /// A task.
    pub fn task(&self, task: TaskId) -> Option<&TaskRecord> {
        let round = self.occurrences.get(task.occurrence as usize)?;
        let step = round.steps.get(usize::from(task.step))?;
        step.tasks.get(task.index as usize)
    }

    pub(super) fn task_mut(&mut self, task: TaskId) -> Option<&mut TaskRecord> {
        let round = self.occurrences.get_mut(task.occurrence as usize)?;
        let step = round.steps.get_mut(usize::from(task.step))?;
        step.tasks.get_mut(task.index as usize)
    }

    /// Whether a run is still wanted: the job is open and its task is not done.
    pub fn needs(&self, run: RunId) -> bool {
        let open = self.phase == JobPhase::Open;
        open && self.task(run.task).is_some_and(|task| !task.done)
    }

    /// Takes a run that ended out; says whether it was there.
    pub(super) fn take_run(&mut self, run: RunId) -> bool {
        let Some(task) = self.task_mut(run.task) else {
            return false;
        };
        let before = task.runs.len();
        task.runs.retain(|(number, _)| *number != run.number);
        let there = task.runs.len() < before;
        if there {
            self.active_runs = self.active_runs.saturating_sub(1);
        }
        there
    }

    /// Draws the consequences of the end of a run that was taken out.
    pub(super) fn ended(&mut self, run: RunId, how: EndKind, max_attempts: u32, at_ms: u64) {
        let Some(spec) = &self.spec else {
            return;
        };
        let (gang, lasting) = {
            let step = &spec.steps[usize::from(run.task.step)];
            (step.gang, step.long_running)
        };
        match how {
            EndKind::Done if lasting => {}
            EndKind::Done => self.note_done(run.task, gang, at_ms),
            EndKind::Failed => {
                let Some(task) = self.task_mut(run.task) else {
                    return;
                };
                task.failures += 1;
                let failures = if gang {
                    self.gang_failures(run.task)
                } else {
                    task.failures
                };
                if !lasting && failures >= max_attempts {
                    self.end(JobPhase::Failed, at_ms);
                }
            }
            _ => {}
        }
    }

    fn gang_failures(&self, task: TaskId) -> u32 {
        let round = self.occurrences.get(task.occurrence as usize);
        let step = round.and_then(|round| round.steps.get(usize::from(task.step)));
        let tasks = step.into_iter().flat_map(|step| &step.tasks);
        tasks.map(|task| task.failures).sum()
    }

    fn note_done(&mut self, task: TaskId, gang: bool, at_ms: u64) {
        let Some(round) = self.occurrences.get_mut(task.occurrence as usize) else {
            return;
        };
        let step = &mut round.steps[usize::from(task.step)];
        if gang {
            step.tasks.iter_mut().for_each(|task| task.done = true);
            step.remaining = 0;
        } else if let Some(task) = step.tasks.get_mut(task.index as usize)
            && !task.done
        {
            task.done = true;
            step.remaining -= 1;
        }
        let mut steps = self.occurrences.iter().flat_map(|round| &round.steps);
        if steps.all(|step| step.remaining == 0) {
            self.end(JobPhase::Completed, at_ms);
        }
    }

    pub(super) fn end(&mut self, phase: JobPhase, at_ms: u64) {
        if self.phase == JobPhase::Open {
            self.phase = phase;
            self.ended_ms = Some(at_ms);
        }
    }

    /// Drops what only a job with tasks to run needs.
    pub(super) fn shrink(&mut self) {
        if self.phase != JobPhase::Open && self.active_runs == 0 {
            self.spec = None;
            self.occurrences = Vec::new();
        }
    }
}
