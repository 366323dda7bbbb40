//! Tasks of a job.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ExecutorKey;
use crate::job::{JobSpec, StepSpec};

/// One occurrence of a job's steps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// By number of the step.
    pub steps: Vec<StepRecord>,
}

/// A step of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// By index.
    pub tasks: Vec<TaskRecord>,
    /// Tasks that are not done.
    pub remaining: u32,
}

/// A task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the last start.
    pub last_run: u32,
    /// Runs that have failed.
    pub failures: u32,
    /// Whether it has done its work.
    pub done: bool,
    /// Runs that may be under way.
    pub runs: Vec<(u32, ExecutorKey)>,
    /// The progress that was saved last.
    pub saved: Option<Arc<str>>,
}

impl OccurrenceRecord {
    pub(super) fn new(spec: &JobSpec) -> Self {
        let step = |step: &StepSpec| StepRecord {
            tasks: vec![TaskRecord::default(); step.count as usize],
            remaining: step.count,
        };
        Self {
            steps: spec.steps.iter().map(step).collect(),
        }
    }

    /// Whether every step that `step` depends on is done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        let mut needed = step.depends_on.iter();
        needed.all(|needed| self.steps[usize::from(*needed)].remaining == 0)
    }
}

impl StepRecord {
    /// Tasks that are neither done nor under way, by index.
    pub fn waiting(&self) -> impl Iterator<Item = (u32, &TaskRecord)> {
        let tasks = (0..).zip(&self.tasks);
        tasks.filter(|(_, task)| !task.done && task.runs.is_empty())
    }
}
