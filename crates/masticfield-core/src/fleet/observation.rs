//! What is known of hosts and tasks at a moment.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::note::Resources;

/// Reports about the fleet, with the lag that they have.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// The hosts that have announced themselves.
    pub hosts: Vec<HostObservation>,
    /// The tasks that hosts report.
    pub tasks: Vec<TaskObservation>,
}

/// What is known of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostObservation {
    /// Name of the host.
    pub host: Arc<str>,
    /// Whether it works.
    pub health: HostHealth,
    /// Whether it has said itself that no lease of this generation is left on it.
    pub drained: Option<Generation>,
    /// Time since its last report.
    pub silent_for: Duration,
    /// Completed reboots since the system first saw it.
    pub reboots: u64,
}

/// Whether a host works.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostHealth {
    /// It reports and works.
    Healthy,
    /// Its reports are late.
    Suspect,
    /// It is out of maintenance on purpose.
    Rebooting,
    /// It reports a fault, or is silent for longer than its leases last.
    Failed,
}

/// What is known of a task of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskObservation {
    /// Name of the job.
    pub job: Arc<str>,
    /// Number of the task within its job.
    pub index: u32,
    /// Attempt at the task; a later attempt replaces an earlier one.
    pub attempt: u32,
    /// Host that it was placed on.
    pub host: Arc<str>,
    /// How far it is.
    pub phase: TaskPhase,
    /// Usage as last reported.
    pub usage: Resources,
    /// Time since its start.
    pub running_for: Duration,
}

/// How far a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// It was accepted and is not running yet.
    Starting,
    /// It runs.
    Running,
    /// It runs at a reduced rate.
    Throttled,
    /// It was checkpointed and no longer runs.
    Checkpointed,
    /// It ended well.
    Finished,
    /// It ended with a failure.
    Failed,
    /// It was stopped on request.
    Stopped,
    /// Its lease ran out.
    Lost,
}

impl TaskPhase {
    /// Whether the task holds resources of its host.
    pub const fn holds_resources(self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Throttled)
    }
}
