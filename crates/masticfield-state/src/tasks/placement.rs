//! The placement of one task.

use std::sync::Arc;

use masticfield_core::fleet::{Generation, TaskPhase};
use masticfield_core::note::Resources;
use serde::{Deserialize, Serialize};

/// A task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskKey {
    /// The job.
    pub job: Arc<str>,
    /// Number of the task within its job.
    pub index: u32,
}

/// The latest attempt at a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Placement {
    /// Attempt at the task.
    pub attempt: u32,
    /// The host.
    pub host: Arc<str>,
    /// The generation that owned the host at the start.
    pub generation: Generation,
    /// What is set aside for it.
    pub size: Resources,
    /// How far it is.
    pub state: PlacementState,
    /// When it was placed, in milliseconds since the Unix epoch.
    pub placed_at_ms: u64,
}

/// What was ordered of a placed task, or how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum PlacementState {
    /// It runs.
    Running,
    /// It runs at a reduced rate.
    Throttled,
    /// It saves itself and ends.
    Checkpointing,
    /// It was told to end.
    Stopping,
    /// It has ended.
    Ended(TaskPhase),
}

/// A report that an attempt at a task has ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The job.
    pub job: Arc<str>,
    /// Number of the task within its job.
    pub index: u32,
    /// Attempt at the task.
    pub attempt: u32,
    /// How it ended; a phase that holds resources is no end and is ignored.
    pub phase: TaskPhase,
}

impl Placement {
    /// Whether the attempt may still hold resources of its host.
    pub const fn is_held(&self) -> bool {
        !matches!(self.state, PlacementState::Ended(_))
    }
}
