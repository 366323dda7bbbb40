//! Messages of the platform's HTTP API.
//!
//! The platform runs tasks on workers under leases, reports usage with a lag, and drains and
//! reboots hosts. All bodies are JSON. Every request is idempotent and may be resent.
//!
//! | request | body | response |
//! | --- | --- | --- |
//! | `GET /v1/workers?since=N` | | [`WorkerReports`]: changes after cursor `N` |
//! | `POST /v1/hosts/{host}/{drain\|resume\|reboot}` | [`HostOrder`] | 202, or 409 if a higher generation was seen |
//! | `PUT /v1/tasks/{job}/{index}/{attempt}` | [`TaskOrder`] | 202, or 409 if fenced |
//! | `POST /v1/tasks/{job}/{index}/{attempt}/{throttle\|checkpoint\|stop}` | | 202, or 404 |
//! | `POST /v1/leases` | [`LeaseRenewal`] | 202 |
//!
//! # Examples
//!
//! ```
//! use masticfield_core::platform::HostCommand;
//!
//! assert_eq!(HostCommand::Reboot.path("host-1"), "/v1/hosts/host-1/reboot");
//! ```

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::{Generation, HostHealth, TaskPhase};
use crate::note::Resources;

/// Workers and tasks that changed since a cursor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerReports {
    /// Cursor of the next poll.
    pub cursor: u64,
    /// Current reports of the workers that changed.
    pub workers: Vec<WorkerReport>,
    /// Current reports of the tasks that changed.
    pub tasks: Vec<TaskReport>,
}

/// Report of a worker about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Rack of the host.
    pub rack: Arc<str>,
    /// Total resources of the host.
    pub capacity: Resources,
    /// Health of the host.
    pub health: HostHealth,
    /// Highest generation of which no lease is left on the host; absent if there is none.
    pub drained: Option<Generation>,
    /// Number of reboots that the host has completed.
    pub reboots: u64,
}

/// Report of a worker about a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the job.
    pub job: Arc<str>,
    /// Index of the task within its job.
    pub index: u32,
    /// Number of the attempt at the task.
    pub attempt: u32,
    /// Name of the host that runs the task.
    pub host: Arc<str>,
    /// Phase that the task has reached.
    pub phase: TaskPhase,
    /// Resource usage at the last measurement.
    pub usage: Resources,
    /// Time since the task started.
    #[serde(with = "humantime_serde")]
    pub running_for: Duration,
}

/// Body of a command to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrder {
    /// Generation of the host's ownership; the platform refuses a generation below one it has seen.
    pub generation: Generation,
    /// For a reboot: number of reboots that the host must have completed for the order to take
    /// effect, so that a resent order does not reboot it twice. Absent for other commands.
    #[serde(default)]
    pub completed: Option<u64>,
}

/// Body of a request to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// Name of the host to start the task on.
    pub host: Arc<str>,
    /// Generation of the host's ownership.
    pub generation: Generation,
    /// Resources reserved for the task.
    pub size: Resources,
    /// Time for which the task may run without a lease renewal.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
}

/// Body of a request that renews the leases of all tasks on the listed hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Names of the hosts, each with the generation of its ownership.
    pub hosts: Vec<(Arc<str>, Generation)>,
    /// Time for which the tasks may run without another renewal.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
}

/// A request to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOrder {
    /// Drains, resumes or reboots a host.
    Host {
        /// Name of the host.
        host: Arc<str>,
        /// Command to the host.
        command: HostCommand,
        /// Body of the request.
        order: HostOrder,
    },
    /// Starts a task.
    Start {
        /// Name of the job.
        job: Arc<str>,
        /// Index of the task within its job.
        index: u32,
        /// Number of the attempt at the task.
        attempt: u32,
        /// Body of the request.
        order: TaskOrder,
    },
    /// Throttles, checkpoints or stops a running task.
    Task {
        /// Name of the job.
        job: Arc<str>,
        /// Index of the task within its job.
        index: u32,
        /// Number of the attempt at the task.
        attempt: u32,
        /// Command to the task.
        command: TaskCommand,
    },
    /// Renews the leases of tasks.
    Renew(LeaseRenewal),
}

/// Command to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HostCommand {
    /// Finish running tasks and accept no new ones.
    Drain,
    /// Accept new tasks again.
    Resume,
    /// Reboot; valid once the host is drained.
    Reboot,
}

/// Command to a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskCommand {
    /// Run at a reduced rate.
    Throttle,
    /// Save the task's state and end it.
    Checkpoint,
    /// End the task.
    Stop,
}

impl HostCommand {
    /// Returns the path that the command is posted to.
    pub fn path(self, host: &str) -> String {
        let verb = match self {
            Self::Drain => "drain",
            Self::Resume => "resume",
            Self::Reboot => "reboot",
        };
        format!("/v1/hosts/{host}/{verb}")
    }
}

impl TaskCommand {
    /// Returns the path that the command is posted to.
    pub fn path(self, job: &str, index: u32, attempt: u32) -> String {
        let verb = match self {
            Self::Throttle => "throttle",
            Self::Checkpoint => "checkpoint",
            Self::Stop => "stop",
        };
        format!("/v1/tasks/{job}/{index}/{attempt}/{verb}")
    }
}
