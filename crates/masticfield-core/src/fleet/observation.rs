//! Reported state of hosts and tasks.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::note::Resources;

/// Latest reports about the fleet, which may lag behind its actual state.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Observation {
    /// Hosts that have announced themselves.
    pub hosts: Vec<HostObservation>,
    /// Tasks that hosts report.
    pub tasks: Vec<TaskObservation>,
}

/// Latest report about a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostObservation {
    /// Name of the host.
    pub host: Arc<str>,
    /// Health of the host.
    pub health: HostHealth,
    /// Generation of which the host reported that no lease is left on it; absent if there is none.
    pub drained: Option<Generation>,
    /// Time since the last report of the host.
    pub silent_for: Duration,
    /// Number of reboots that the host has completed since it was first reported.
    pub reboots: u64,
}

/// Health of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostHealth {
    /// The host reports and works.
    Healthy,
    /// Reports of the host are late.
    Suspect,
    /// The host is out of service for maintenance.
    Rebooting,
    /// The host reports a fault, or has not reported for longer than its leases last.
    Failed,
}

/// Latest report about a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskObservation {
    /// Name of the job.
    pub job: Arc<str>,
    /// Index of the task within its job.
    pub index: u32,
    /// Number of the attempt at the task; a later attempt replaces an earlier one.
    pub attempt: u32,
    /// Name of the host that the task was placed on.
    pub host: Arc<str>,
    /// Phase that the task has reached.
    pub phase: TaskPhase,
    /// Resource usage at the last report.
    pub usage: Resources,
    /// Time since the task started.
    pub running_for: Duration,
}

/// Phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskPhase {
    /// The task was accepted and is not running yet.
    Starting,
    /// The task runs.
    Running,
    /// The task runs at a reduced rate.
    Throttled,
    /// The task was checkpointed and no longer runs.
    Checkpointed,
    /// The task ended successfully.
    Finished,
    /// The task ended with a failure.
    Failed,
    /// The task was stopped on request.
    Stopped,
    /// The lease of the task expired.
    Lost,
}

impl TaskPhase {
    /// Returns whether a task in this phase holds resources of its host.
    pub const fn holds_resources(self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Throttled)
    }
}
