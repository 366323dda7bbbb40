//! Records of tasks, grouped by occurrence and step.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::ExecutorKey;
use crate::job::{JobSpec, StepSpec};

/// Record of one occurrence of a job's steps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OccurrenceRecord {
    /// Records of the steps, in the order of the job's specification.
    pub steps: Vec<StepRecord>,
}

/// Record of one step of an occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRecord {
    /// Records of the tasks, by index.
    pub tasks: Vec<TaskRecord>,
    /// Number of tasks that are not done.
    pub remaining: u32,
}

/// Record of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the latest run; 0 if the task was never started.
    pub last_run: u32,
    /// Number of runs that failed.
    pub failures: u32,
    /// Whether the task has completed.
    pub done: bool,
    /// Numbers and executors of the runs that have not ended.
    pub runs: Vec<(u32, ExecutorKey)>,
    /// Latest saved progress, if the task has saved any.
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

    /// Returns whether every step that `step` depends on is done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        let mut dependencies = step.depends_on.iter();
        dependencies.all(|dependency| self.steps[usize::from(*dependency)].remaining == 0)
    }
}

impl StepRecord {
    /// Returns the tasks that are neither done nor running, with their index.
    pub fn waiting(&self) -> impl Iterator<Item = (u32, &TaskRecord)> {
        let tasks = (0..).zip(&self.tasks);
        tasks.filter(|(_, task)| !task.done && task.runs.is_empty())
    }
}
