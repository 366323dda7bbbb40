//! A job as it was handed in.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::StepSpec;

/// Most tasks of a job over all its occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// Most bytes of the payload that is handed to each task.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job as it was handed in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What each task is given.
    pub payload: Arc<str>,
    /// The steps.
    pub steps: Vec<StepSpec>,
    /// When the steps run, if not once and at once.
    pub timetable: Option<Timetable>,
}

/// When the steps of a job run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Number of occurrences.
    pub occurrences: u32,
    /// When the first one is due, in milliseconds since the Unix epoch.
    pub start_at_ms: u64,
    /// Time between two, in milliseconds.
    pub interval_ms: u64,
}

/// Why a job cannot be accepted as it stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum InvalidJob {
    /// It has no step, or a step has no task.
    #[snafu(display("a job needs a step, and each step a task"))]
    Empty,
    /// It has more tasks than a job may have.
    #[snafu(display("a job has at most {MAX_TASKS} tasks"))]
    TooManyTasks,
    /// Its payload is too long.
    #[snafu(display("the payload is longer than {MAX_PAYLOAD_BYTES} bytes"))]
    PayloadTooLong,
    /// A step depends on one that does not come before it.
    #[snafu(display("a step depends on a step that is not before it"))]
    ForwardDependency,
}

impl JobSpec {
    /// Checks what the types leave open.
    ///
    /// # Errors
    ///
    /// Fails if the job is empty or too large, or if its steps have no order.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let whole = !self.steps.is_empty() && self.steps.iter().all(|step| step.count > 0);
        ensure!(whole, EmptySnafu);
        ensure!(self.payload.len() <= MAX_PAYLOAD_BYTES, PayloadTooLongSnafu);
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        ensure!(tasks <= MAX_TASKS, TooManyTasksSnafu);
        let ordered = self.steps.iter().enumerate().all(|(number, step)| {
            let mut needed = step.depends_on.iter();
            needed.all(|needed| usize::from(*needed) < number)
        });
        ensure!(ordered, ForwardDependencySnafu);
        Ok(())
    }

    /// How many times the steps run.
    pub fn occurrences(&self) -> u32 {
        self.timetable
            .map_or(1, |timetable| timetable.occurrences.max(1))
    }

    /// When an occurrence is due, in milliseconds since the Unix epoch.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let timetable = self.timetable?;
        let after = timetable.interval_ms.saturating_mul(u64::from(occurrence));
        Some(timetable.start_at_ms.saturating_add(after))
    }

    /// Whether some tasks run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Estimated work of all tasks of one occurrence, in core-seconds.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn work(&self) -> f64 {
        let each = |step: &StepSpec| {
            let time = step.estimate_ms as f64 / 1_000.0;
            let cores = step.need.cpu_milli as f64 / 1_000.0;
            f64::from(step.count) * time * cores
        };
        self.steps.iter().map(each).sum()
    }

    /// Estimated time of the longest chain of steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let needed = step.depends_on.iter();
            let starts = needed.filter_map(|needed| ends.get(usize::from(*needed)));
            ends.push(starts.max().copied().unwrap_or_default() + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
