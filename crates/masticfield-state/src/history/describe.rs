//! Descriptions of actions and reasons in history rows.
//!
//! The texts are stored: a change affects only rows that are added later.

use std::sync::Arc;

use masticfield_core::fleet::{Action, Reason};

use super::Subject;

/// Describes an applied action.
pub(crate) fn action(action: &Action) -> String {
    match action {
        Action::Own {
            host,
            pool,
            generation,
        } => format!(
            "host {host} owned by pool {pool} at generation {}",
            generation.number()
        ),
        Action::Drain { host, .. } => format!("host {host} drains"),
        Action::Release { host, .. } => format!("host {host} released"),
        Action::Resume { host, .. } => format!("host {host} resumes"),
        Action::Reboot { host, .. } => format!("host {host} reboots"),
        Action::StartTask {
            job,
            index,
            attempt,
            host,
            ..
        } => format!("job {job} task {index} attempt {attempt} starts on host {host}"),
        Action::ThrottleTask { job, index, .. } => format!("job {job} task {index} throttled"),
        Action::CheckpointTask { job, index, .. } => {
            format!("job {job} task {index} checkpoints")
        }
        Action::StopTask { job, index, .. } => format!("job {job} task {index} stops"),
        Action::Quarantine { host, period } => {
            format!("host {host} quarantined for {} s", period.as_secs())
        }
        Action::StopJob { job } => format!("job {job} given up"),
    }
}

/// Describes why an action was planned.
pub(crate) fn reason(reason: &Reason) -> String {
    match reason {
        Reason::PoolShort {
            pool,
            healthy,
            needed,
        } => format!("pool {pool} has {healthy} of {needed} healthy hosts"),
        Reason::PoolSurplus { from, to } => format!("pool {from} has hosts to give to pool {to}"),
        Reason::HostWithdrawn => "the host is not in the configuration".into(),
        Reason::PoolWithdrawn { pool } => format!("pool {pool} is not in the configuration"),
        Reason::HostFailed => "the host failed".into(),
        Reason::MaintenanceDue { programme } => format!("maintenance {programme} is due"),
        Reason::MaintenanceOver { programme } => format!("maintenance {programme} is over"),
        Reason::Operator => "an operator asked for it".into(),
        Reason::Drained => "the host said that it is drained".into(),
        Reason::LeasesEnded => "every lease on the host has run out".into(),
        Reason::TaskMissing => "the job lacks a task".into(),
        Reason::Displaced { by } => format!("urgent job {by} needs the room"),
        Reason::Overcommitted => "the host holds more than it has".into(),
        Reason::JobWithdrawn => "the job is not in the configuration".into(),
        Reason::FailsEverything { jobs } => format!("{jobs} different jobs failed on the host"),
        Reason::FailsEverywhere { hosts } => format!("the job failed on {hosts} different hosts"),
        Reason::NeverFits { size } => format!(
            "no host holds {} millicores, {} MB and {} accelerators even when empty",
            size.millicores, size.memory_mb, size.accelerators
        ),
    }
}

/// The hosts, pools and jobs that an action and its reason are about.
pub(crate) fn subjects(action: &Action, reason: &Reason) -> Vec<(Subject, Arc<str>)> {
    let mut subjects = Vec::new();
    let mut add = |kind, name: &Arc<str>| subjects.push((kind, Arc::clone(name)));
    match action {
        Action::Own { host, pool, .. } => {
            add(Subject::Host, host);
            add(Subject::Pool, pool);
        }
        Action::StartTask { job, host, .. } => {
            add(Subject::Job, job);
            add(Subject::Host, host);
        }
        Action::Drain { host, .. }
        | Action::Release { host, .. }
        | Action::Resume { host, .. }
        | Action::Reboot { host, .. }
        | Action::Quarantine { host, .. } => add(Subject::Host, host),
        Action::ThrottleTask { job, .. }
        | Action::CheckpointTask { job, .. }
        | Action::StopTask { job, .. }
        | Action::StopJob { job } => add(Subject::Job, job),
    }
    match reason {
        Reason::PoolShort { pool, .. } | Reason::PoolWithdrawn { pool } => {
            add(Subject::Pool, pool);
        }
        Reason::PoolSurplus { from, to } => {
            add(Subject::Pool, from);
            add(Subject::Pool, to);
        }
        Reason::Displaced { by } => add(Subject::Job, by),
        _ => {}
    }
    subjects.dedup();
    subjects
}
