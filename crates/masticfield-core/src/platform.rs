//! The HTTP face of the platform.
//!
//! The platform runs tasks on workers under leases, reports usage with a lag, and drains and
//! reboots hosts. All bodies are JSON. Every request may be sent twice.
//!
//! | request | body | answer |
//! | --- | --- | --- |
//! | `GET /v1/workers?since=N` | | [`WorkerReports`]: what changed after cursor `N` |
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

/// What changed on the platform since a cursor.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerReports {
    /// The cursor to ask with next time.
    pub cursor: u64,
    /// Workers that changed.
    pub workers: Vec<WorkerReport>,
    /// Tasks that changed.
    pub tasks: Vec<TaskReport>,
}

/// What a worker reports of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// Name of the host.
    pub host: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Rack of the host.
    pub rack: Arc<str>,
    /// What the host has.
    pub capacity: Resources,
    /// Whether it works.
    pub health: HostHealth,
    /// The highest generation of which no lease is left on it.
    pub drained: Option<Generation>,
    /// Completed reboots.
    pub reboots: u64,
}

/// What a worker reports of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// Name of the job.
    pub job: Arc<str>,
    /// Number of the task within its job.
    pub index: u32,
    /// Attempt at the task.
    pub attempt: u32,
    /// Host that runs it.
    pub host: Arc<str>,
    /// How far it is.
    pub phase: TaskPhase,
    /// Usage as last measured.
    pub usage: Resources,
    /// Time since its start.
    #[serde(with = "humantime_serde")]
    pub running_for: Duration,
}

/// Body of an order to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostOrder {
    /// The generation that the order is for; lower ones are refused.
    pub generation: Generation,
    /// For a reboot: it is carried out only while this many reboots are completed.
    #[serde(default)]
    pub completed: Option<u64>,
}

/// Body of an order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// Host to start it on.
    pub host: Arc<str>,
    /// The generation that owns the host.
    pub generation: Generation,
    /// What is set aside for it.
    pub size: Resources,
    /// How long it may run without a renewal.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
}

/// Body of a renewal of the leases of all tasks on hosts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRenewal {
    /// Hosts whose tasks go on, with the generation that owns each.
    pub hosts: Vec<(Arc<str>, Generation)>,
    /// How long they may run without another renewal.
    #[serde(with = "humantime_serde")]
    pub lease: Duration,
}

/// An order to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformOrder {
    /// An order to a host.
    Host {
        /// Name of the host.
        host: Arc<str>,
        /// What it is to do.
        command: HostCommand,
        /// The body.
        order: HostOrder,
    },
    /// Starts a task.
    Start {
        /// Name of the job.
        job: Arc<str>,
        /// Number of the task within its job.
        index: u32,
        /// Attempt at the task.
        attempt: u32,
        /// The body.
        order: TaskOrder,
    },
    /// An order to a running task.
    Task {
        /// Name of the job.
        job: Arc<str>,
        /// Number of the task within its job.
        index: u32,
        /// Attempt at the task.
        attempt: u32,
        /// What it is to do.
        command: TaskCommand,
    },
    /// Renews leases.
    Renew(LeaseRenewal),
}

/// Orders to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HostCommand {
    /// Finish what runs, take nothing new.
    Drain,
    /// Take new work again.
    Resume,
    /// Reboot once drained.
    Reboot,
}

/// Orders to a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TaskCommand {
    /// Run at a reduced rate.
    Throttle,
    /// Save and end.
    Checkpoint,
    /// End.
    Stop,
}

impl HostCommand {
    /// The path that the order is posted to.
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
    /// The path that the order is posted to.
    pub fn path(self, job: &str, index: u32, attempt: u32) -> String {
        let verb = match self {
            Self::Throttle => "throttle",
            Self::Checkpoint => "checkpoint",
            Self::Stop => "stop",
        };
        format!("/v1/tasks/{job}/{index}/{attempt}/{verb}")
    }
}
