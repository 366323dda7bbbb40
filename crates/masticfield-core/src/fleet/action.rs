//! What the planner decides, and why.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Generation;
use crate::note::Resources;

/// One step that brings the fleet closer to the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Action {
    /// Gives a released or new host to a pool.
    Own {
        /// The host.
        host: Arc<str>,
        /// The pool.
        pool: Arc<str>,
        /// The new generation.
        generation: Generation,
    },
    /// Lets a host finish its work and take nothing new.
    Drain {
        /// The host.
        host: Arc<str>,
        /// The generation that drains.
        generation: Generation,
    },
    /// Takes a drained host out of its pool.
    Release {
        /// The host.
        host: Arc<str>,
        /// The generation that ends.
        generation: Generation,
    },
    /// Returns a draining host to service in its pool.
    Resume {
        /// The host.
        host: Arc<str>,
        /// The generation that goes on.
        generation: Generation,
    },
    /// Maintains a drained host.
    Reboot {
        /// The host.
        host: Arc<str>,
        /// The generation that owns it.
        generation: Generation,
        /// Reboots that it had completed before; makes the order idempotent.
        completed: u64,
    },
    /// Starts a task under a lease.
    StartTask {
        /// The job.
        job: Arc<str>,
        /// Number of the task within its job.
        index: u32,
        /// Attempt at the task.
        attempt: u32,
        /// The host.
        host: Arc<str>,
        /// The generation that owns the host.
        generation: Generation,
        /// What is set aside for it.
        size: Resources,
    },
    /// Runs a task at a reduced rate.
    ThrottleTask {
        /// The job.
        job: Arc<str>,
        /// Number of the task within its job.
        index: u32,
        /// Attempt at the task.
        attempt: u32,
    },
    /// Saves a task and ends it, to go on elsewhere.
    CheckpointTask {
        /// The job.
        job: Arc<str>,
        /// Number of the task within its job.
        index: u32,
        /// Attempt at the task.
        attempt: u32,
    },
    /// Ends a task.
    StopTask {
        /// The job.
        job: Arc<str>,
        /// Number of the task within its job.
        index: u32,
        /// Attempt at the task.
        attempt: u32,
    },
    /// Gives a host no more tasks for a while.
    Quarantine {
        /// The host.
        host: Arc<str>,
        /// For how long.
        period: Duration,
    },
    /// Gives up on a job.
    StopJob {
        /// The job.
        job: Arc<str>,
    },
}

/// An action with its reason.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Planned {
    /// The step.
    pub action: Action,
    /// Why it is taken.
    pub reason: Reason,
}

/// Why the planner takes an action.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// A pool has fewer healthy hosts than it needs.
    PoolShort {
        /// The pool.
        pool: Arc<str>,
        /// Healthy hosts that it has.
        healthy: u32,
        /// Hosts that it needs.
        needed: u32,
    },
    /// A pool has more hosts than it needs, and another lacks some.
    PoolSurplus {
        /// The pool that gives.
        from: Arc<str>,
        /// The pool that lacks.
        to: Arc<str>,
    },
    /// The host is not, or no longer, in the configuration.
    HostWithdrawn,
    /// The pool is no longer in the configuration.
    PoolWithdrawn {
        /// The pool.
        pool: Arc<str>,
    },
    /// The host failed.
    HostFailed,
    /// The host is due for maintenance.
    MaintenanceDue {
        /// The programme.
        programme: Arc<str>,
    },
    /// Maintenance of the host is done, or paused before it began.
    MaintenanceOver {
        /// The programme.
        programme: Arc<str>,
    },
    /// An operator asked for it.
    Operator,
    /// The host has said that it is drained.
    Drained,
    /// Every lease on the host has run out.
    LeasesEnded,
    /// The job lacks a task.
    TaskMissing,
    /// The task has to make room for urgent work.
    Displaced {
        /// The urgent job.
        by: Arc<str>,
    },
    /// The host holds more than it has.
    Overcommitted,
    /// The job is no longer in the configuration.
    JobWithdrawn,
    /// Many jobs failed on the host.
    FailsEverything {
        /// Different jobs that failed on it.
        jobs: u32,
    },
    /// The job failed on many hosts.
    FailsEverywhere {
        /// Different hosts that it failed on.
        hosts: u32,
    },
    /// No host of the pool holds the job even when empty.
    NeverFits {
        /// What one task needs.
        size: Resources,
    },
}
