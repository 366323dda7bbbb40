//! A step of a job.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Resources;

/// Tasks that are alike and run side by side.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a step"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// What each task needs.
    pub need: Resources,
    /// Rough estimate of the time that a task works, in milliseconds.
    pub estimate_ms: u64,
    /// Earlier steps that must be done first, by number.
    pub depends_on: Vec<u16>,
    /// Whether tasks save their progress.
    pub checkpointing: bool,
    /// Whether the tasks work only while all of them are there.
    pub gang: bool,
    /// Whether the tasks work faster on one rack.
    pub same_rack: bool,
    /// Label that an executor must have.
    pub label: Option<Arc<str>>,
    /// Rack on which the tasks' data is.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one executor.
    pub max_per_executor: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Bound of the tail of response times of a task that serves, in milliseconds.
    pub max_tail_ms: Option<u64>,
    /// Whether the tasks take only the processor time that others leave.
    pub best_effort: bool,
    /// Tasks of the step that may be away at the same time because of the system.
    pub may_miss: u32,
}

impl StepSpec {
    /// What a task takes of the capacity that executors guarantee.
    pub const fn reserved(&self) -> Resources {
        Resources {
            cpu_milli: if self.best_effort {
                0
            } else {
                self.need.cpu_milli
            },
            ..self.need
        }
    }
}
