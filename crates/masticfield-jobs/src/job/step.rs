//! A step of a job.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Resources;

/// A set of identical tasks that may run in parallel.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent properties of a step"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub count: u32,
    /// Resources that each task needs.
    pub need: Resources,
    /// The caller's rough estimate of how long a task runs, in milliseconds.
    pub estimate_ms: u64,
    /// Zero-based positions of the earlier steps that must be done before this one starts.
    pub depends_on: Vec<u16>,
    /// Whether tasks save their progress, so that a later run can resume from it.
    pub checkpointing: bool,
    /// Whether the tasks make progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks run faster when they share a rack.
    pub same_rack: bool,
    /// Label that an executor must have to run the tasks; `None` allows any executor.
    pub label: Option<Arc<str>>,
    /// Rack that stores the tasks' input data, if known.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one executor; `None` sets no limit.
    pub max_per_executor: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
    /// Image that the tasks run; tasks of the same image behave alike.
    pub image: Option<Arc<str>>,
    /// Limit of the tail latency of a task that serves requests, in milliseconds.
    pub max_tail_ms: Option<u64>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub best_effort: bool,
    /// Number of the step's tasks that drains and moves may interrupt at the same time.
    pub may_miss: u32,
}

impl StepSpec {
    /// Returns the part of an executor's guaranteed capacity that a task reserves.
    ///
    /// Best-effort tasks reserve no processor time.
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
