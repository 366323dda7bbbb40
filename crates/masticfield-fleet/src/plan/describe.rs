//! Descriptions of actions and reasons in previews for operators.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::fleet::Reason;
//! use masticfield_fleet::plan::describe;
//!
//! assert_eq!(describe::reason(&Reason::HostFailed), "the host failed");
//! ```

use masticfield_core::fleet::{Action, Reason};

/// Describes an action in the imperative.
pub fn action(action: &Action) -> String {
    match action {
        Action::Own { host, pool, .. } => format!("give host {host} to pool {pool}"),
        Action::Drain { host, .. } => format!("drain host {host}"),
        Action::Release { host, .. } => format!("release host {host}"),
        Action::Resume { host, .. } => format!("resume host {host}"),
        Action::Reboot { host, .. } => format!("reboot host {host}"),
        Action::StartTask {
            job, index, host, ..
        } => format!("start task {index} of job {job} on host {host}"),
        Action::ThrottleTask { job, index, .. } => format!("throttle task {index} of job {job}"),
        Action::CheckpointTask { job, index, .. } => {
            format!("checkpoint task {index} of job {job}")
        }
        Action::StopTask { job, index, .. } => format!("stop task {index} of job {job}"),
        Action::Quarantine { host, period } => {
            format!("give host {host} no tasks for {} s", period.as_secs())
        }
        Action::StopJob { job } => format!("give up on job {job}"),
    }
}

/// Describes why an action is planned.
pub fn reason(reason: &Reason) -> String {
    match reason {
        Reason::PoolShort {
            pool,
            healthy,
            needed,
        } => format!("pool {pool} has {healthy} of {needed} hosts"),
        Reason::PoolSurplus { from, to } => format!("pool {to} lacks a host that {from} can give"),
        Reason::HostWithdrawn => "the host was withdrawn".to_owned(),
        Reason::PoolWithdrawn { pool } => format!("pool {pool} was withdrawn"),
        Reason::HostFailed => "the host failed".to_owned(),
        Reason::MaintenanceDue { programme } => format!("maintenance {programme} is due"),
        Reason::MaintenanceOver { programme } => format!("maintenance {programme} is over"),
        Reason::Operator => "an operator asked for it".to_owned(),
        Reason::Drained => "the host says that it is drained".to_owned(),
        Reason::LeasesEnded => "every lease on the host has run out".to_owned(),
        Reason::TaskMissing => "the job lacks a task".to_owned(),
        Reason::Displaced { by } => format!("urgent job {by} needs the room"),
        Reason::Overcommitted => "the host holds more than it has".to_owned(),
        Reason::JobWithdrawn => "the job was withdrawn".to_owned(),
        Reason::FailsEverything { jobs } => format!("{jobs} different jobs failed on the host"),
        Reason::FailsEverywhere { hosts } => format!("the job failed on {hosts} different hosts"),
        Reason::NeverFits { size } => format!(
            "no host of the pool has {} millicores, {} MB and {} accelerators",
            size.millicores, size.memory_mb, size.accelerators
        ),
    }
}
