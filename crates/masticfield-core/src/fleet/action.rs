//! Actions of the planner and their reasons.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::note::Resources;

/// A step that brings the fleet closer to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Assigns a released or new host to a pool.
    Own {
        /// Name of the host.
        host: Arc<str>,
        /// Name of the pool.
        pool: Arc<str>,
        /// Generation of the new ownership.
        generation: Generation,
    },
    /// Lets a host finish its work without accepting new work.
    Drain {
        /// Name of the host.
        host: Arc<str>,
        /// Generation of the ownership that is drained.
        generation: Generation,
    },
    /// Removes a drained host from its pool.
    Release {
        /// Name of the host.
        host: Arc<str>,
        /// Generation of the ownership that ends.
        generation: Generation,
    },
    /// Returns a draining host to service in its pool.
    Resume {
        /// Name of the host.
        host: Arc<str>,
        /// Generation of the ownership that continues.
        generation: Generation,
    },
    /// Reboots a drained host for maintenance.
    Reboot {
        /// Name of the host.
        host: Arc<str>,
        /// Generation of the host's ownership.
        generation: Generation,
        /// Number of reboots that the host had completed before; makes the action idempotent.
        completed: u64,
    },
    /// Starts a task under a lease.
    StartTask {
        /// Name of the job.
        job: Arc<str>,
        /// Index of the task within its job.
        index: u32,
        /// Number of the attempt at the task.
        attempt: u32,
        /// Name of the host.
        host: Arc<str>,
        /// Generation of the host's ownership.
        generation: Generation,
        /// Resources reserved for the task.
        size: Resources,
    },
    /// Runs a task at a reduced rate.
    ThrottleTask {
        /// Name of the job.
        job: Arc<str>,
        /// Index of the task within its job.
        index: u32,
        /// Number of the attempt at the task.
        attempt: u32,
    },
    /// Saves the state of a task and ends it, so that it can continue on another host.
    CheckpointTask {
        /// Name of the job.
        job: Arc<str>,
        /// Index of the task within its job.
        index: u32,
        /// Number of the attempt at the task.
        attempt: u32,
    },
    /// Ends a task.
    StopTask {
        /// Name of the job.
        job: Arc<str>,
        /// Index of the task within its job.
        index: u32,
        /// Number of the attempt at the task.
        attempt: u32,
    },
    /// Starts no tasks on a host for a while.
    Quarantine {
        /// Name of the host.
        host: Arc<str>,
        /// Length of the quarantine.
        period: Duration,
    },
    /// Stops a job for good.
    StopJob {
        /// Name of the job.
        job: Arc<str>,
    },
}

/// An action together with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Planned {
    /// Action to carry out.
    pub action: Action,
    /// Reason for the action.
    pub reason: Reason,
}

/// Reason why the planner decided on an action.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// A pool has fewer healthy hosts than it needs.
    PoolShort {
        /// Name of the pool.
        pool: Arc<str>,
        /// Number of healthy hosts of the pool.
        healthy: u32,
        /// Number of hosts that the pool needs.
        needed: u32,
    },
    /// A pool has more hosts than it needs, and another pool lacks some.
    PoolSurplus {
        /// Pool that gives up the host.
        from: Arc<str>,
        /// Pool that lacks hosts.
        to: Arc<str>,
    },
    /// The host is not in the configuration, or no longer.
    HostWithdrawn,
    /// The pool is no longer in the configuration.
    PoolWithdrawn {
        /// Name of the pool.
        pool: Arc<str>,
    },
    /// The host failed.
    HostFailed,
    /// The host is due for maintenance.
    MaintenanceDue {
        /// Name of the programme.
        programme: Arc<str>,
    },
    /// Maintenance of the host is complete, or was paused before it started.
    MaintenanceOver {
        /// Name of the programme.
        programme: Arc<str>,
    },
    /// An operator requested the action.
    Operator,
    /// The host reported that it is drained.
    Drained,
    /// Every lease on the host has expired.
    LeasesEnded,
    /// The job has fewer running tasks than it needs.
    TaskMissing,
    /// The task is preempted by an urgent job.
    Displaced {
        /// Name of the urgent job.
        by: Arc<str>,
    },
    /// The tasks on the host use more than its resources.
    Overcommitted,
    /// The job is no longer in the configuration.
    JobWithdrawn,
    /// Many jobs failed on the host.
    FailsEverything {
        /// Number of different jobs that failed on the host.
        jobs: u32,
    },
    /// The job failed on many hosts.
    FailsEverywhere {
        /// Number of different hosts that the job failed on.
        hosts: u32,
    },
    /// No host of the pool is large enough for a task, even when empty.
    NeverFits {
        /// Resources that one task needs.
        size: Resources,
    },
}
