//! Specification of a job.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use super::StepSpec;

/// Maximum number of tasks of a job over all its occurrences.
pub const MAX_TASKS: u64 = 20_000;

/// Maximum size of the payload that each task receives, in bytes.
const MAX_PAYLOAD_BYTES: usize = 4_000;

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Opaque text that each task receives when it starts.
    pub payload: Arc<str>,
    /// Steps in an order in which each one comes after those it depends on.
    pub steps: Vec<StepSpec>,
    /// Repeats the steps at set times; without one they run once, as soon as possible.
    pub timetable: Option<Timetable>,
}

/// Times at which the steps of a job are repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Timetable {
    /// Number of times that the steps run; 0 counts as 1.
    pub occurrences: u32,
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub start_at_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
}

/// Error of [`JobSpec::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum InvalidJob {
    /// The job has no step, or a step has no task.
    #[snafu(display("a job needs at least one step, and each step at least one task"))]
    Empty,
    /// The job has more than [`MAX_TASKS`] tasks.
    #[snafu(display("a job has at most {MAX_TASKS} tasks"))]
    TooManyTasks,
    /// The payload exceeds the size limit.
    #[snafu(display("the payload is longer than {MAX_PAYLOAD_BYTES} bytes"))]
    PayloadTooLong,
    /// A step depends on itself or on a later step.
    #[snafu(display("a step depends on a step that does not come before it"))]
    ForwardDependency,
}

impl JobSpec {
    /// Checks the rules that the types do not enforce.
    ///
    /// # Errors
    ///
    /// Fails if the job is empty or too large, or if a step does not come after all steps that it
    /// depends on.
    pub fn check(&self) -> Result<(), InvalidJob> {
        let has_tasks = !self.steps.is_empty() && self.steps.iter().all(|step| step.count > 0);
        ensure!(has_tasks, EmptySnafu);
        ensure!(self.payload.len() <= MAX_PAYLOAD_BYTES, PayloadTooLongSnafu);
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        let tasks = tasks.saturating_mul(u64::from(self.occurrences()));
        ensure!(tasks <= MAX_TASKS, TooManyTasksSnafu);
        let ordered = self.steps.iter().enumerate().all(|(index, step)| {
            let mut dependencies = step.depends_on.iter();
            dependencies.all(|dependency| usize::from(*dependency) < index)
        });
        ensure!(ordered, ForwardDependencySnafu);
        Ok(())
    }

    /// Returns the number of times that the steps run; at least 1.
    pub fn occurrences(&self) -> u32 {
        self.timetable
            .map_or(1, |timetable| timetable.occurrences.max(1))
    }

    /// Returns the due time of an occurrence in milliseconds since the Unix epoch, or `None` for
    /// a job without a timetable.
    pub fn due_ms(&self, occurrence: u32) -> Option<u64> {
        let timetable = self.timetable?;
        let offset_ms = timetable.interval_ms.saturating_mul(u64::from(occurrence));
        Some(timetable.start_at_ms.saturating_add(offset_ms))
    }

    /// Returns whether any step has long-running tasks; such a job never completes by itself.
    pub fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the estimated work of all tasks of one occurrence, in core-seconds.
    #[expect(clippy::cast_precision_loss, reason = "an estimate")]
    pub fn work(&self) -> f64 {
        let step_work = |step: &StepSpec| {
            let seconds = step.estimate_ms as f64 / 1_000.0;
            let cores = step.need.cpu_milli as f64 / 1_000.0;
            f64::from(step.count) * seconds * cores
        };
        self.steps.iter().map(step_work).sum()
    }

    /// Returns the estimated time of the longest chain of dependent steps, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let dependencies = step.depends_on.iter();
            let starts = dependencies.filter_map(|dependency| ends.get(usize::from(*dependency)));
            let start = starts.max().copied().unwrap_or_default();
            ends.push(start.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or_default()
    }
}
