//! The placement of a single task.

use std::sync::Arc;

use masticfield_core::fleet::{Generation, TaskPhase};
use masticfield_core::note::Resources;
use serde::{Deserialize, Serialize};

/// Identifies a task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// Name of the job.
    pub job: Arc<str>,
    /// Index of the task within its job.
    pub index: u32,
}

/// The latest attempt at a task, and the host on which it was placed.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// Number of the attempt.
    pub attempt: u32,
    /// Name of the host.
    pub host: Arc<str>,
    /// Generation of the host when the attempt was placed.
    pub generation: Generation,
    /// Resources reserved for the attempt.
    pub size: Resources,
    /// The last order to the attempt, or how the attempt ended.
    pub state: PlacementState,
    /// When the attempt was placed, in milliseconds since the Unix epoch.
    pub placed_at_ms: u64,
}

/// The last order to a placed task, or how the task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlacementState {
    /// The task was ordered to start and to run at its full rate.
    Running,
    /// The task was ordered to run at a reduced rate.
    Throttled,
    /// The task was ordered to save a checkpoint and end.
    Checkpointing,
    /// The task was ordered to end.
    Stopping,
    /// The task has ended in the given phase.
    Ended(TaskPhase),
}

/// A report that an attempt at a task has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskEnd {
    /// Name of the job.
    pub job: Arc<str>,
    /// Index of the task within its job.
    pub index: u32,
    /// Number of the attempt.
    pub attempt: u32,
    /// Final phase of the attempt; the report is ignored if the phase holds resources.
    pub phase: TaskPhase,
}

impl Placement {
    /// Whether the attempt may still hold resources of its host.
    pub const fn is_held(&self) -> bool {
        !matches!(self.state, PlacementState::Ended(_))
    }
}
