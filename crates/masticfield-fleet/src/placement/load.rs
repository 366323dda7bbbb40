//! Resources held by the tasks of a fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Ownership, TaskObservation, TaskPhase};
use masticfield_core::note::{JobPriority, JobSpec, Resources};

use crate::index::{FleetIndex, Host};
use crate::plan::LEASE_EXPIRY;
use crate::view::{TaskOrderKind, TaskRecord};

/// A task whose latest attempt holds, or may hold, resources of a host.
#[derive(Debug, Clone)]
pub struct LiveTask<'a> {
    /// Name of the job.
    pub job: &'a Arc<str>,
    /// Configured specification of the job; `None` once the job is withdrawn.
    pub spec: Option<&'a JobSpec>,
    /// Index of the task within its job.
    pub index: u32,
    /// Durable record of the latest attempt.
    pub record: &'a TaskRecord,
    /// Latest report of that attempt; `None` until the first.
    pub report: Option<&'a TaskObservation>,
    /// Estimated size, or the size reserved at the start if there is no estimate.
    pub size: Resources,
}

/// Status of the latest attempt at a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// The attempt runs, or may still run.
    Live,
    /// The attempt finished successfully.
    Finished,
    /// The attempt ended without success, or can no longer run; the task may be retried.
    Ended,
}

/// Live tasks, and the resources that they hold by host and by team.
#[derive(Debug, Clone, Default)]
pub struct Load<'a> {
    live: Vec<LiveTask<'a>>,
    /// Live and finished tasks, which need no start.
    live_or_finished: BTreeSet<(&'a str, u32)>,
    held_by_host: BTreeMap<Arc<str>, Resources>,
    leaving_by_host: BTreeMap<Arc<str>, Resources>,
    held_by_team: BTreeMap<Arc<str>, Resources>,
    stopped: BTreeSet<Arc<str>>,
    quarantined: BTreeSet<Arc<str>>,
}

impl<'a> Load<'a> {
    /// Counts the tasks of an indexed fleet.
    ///
    /// With `wait_for_lease`, a task on a failed host stays live until the leases of the host
    /// have expired.
    pub fn new(index: &FleetIndex<'a>, wait_for_lease: bool) -> Self {
        let view = *index.view();
        let tasks = view.observation.tasks.iter();
        let reports: BTreeMap<_, _> = tasks
            .filter(|task| view.jobs.is_latest(task))
            .map(|task| ((&*task.job, task.index), task))
            .collect();
        let mut load = Self::default();
        for (job, record) in view.jobs.iter() {
            if record.stopped {
                load.stopped.insert(Arc::clone(job));
            }
            let spec = view.config.jobs().get(job);
            for (task_index, task) in &record.tasks {
                let report = reports.get(&(&**job, *task_index)).copied();
                let host = index.host_key(&task.host).map(|key| index.host(key));
                match status(task, report, host, (index.now(), wait_for_lease)) {
                    TaskStatus::Live => load.add(LiveTask {
                        job,
                        spec,
                        index: *task_index,
                        record: task,
                        report,
                        size: view.estimates.size(job).unwrap_or(task.size),
                    }),
                    TaskStatus::Finished => {
                        load.live_or_finished.insert((job, *task_index));
                    }
                    TaskStatus::Ended => {}
                }
            }
        }
        load
    }

    /// The live tasks, in the order of jobs and task indices.
    pub fn live(&self) -> &[LiveTask<'a>] {
        &self.live
    }

    /// Whether a task is live or finished, so that it needs no start.
    pub fn is_live_or_finished(&self, job: &str, index: u32) -> bool {
        self.live_or_finished.contains(&(job, index))
    }

    /// Resources that tasks hold on a host.
    pub fn held_on(&self, host: &str) -> Resources {
        self.held_by_host.get(host).copied().unwrap_or_default()
    }

    /// Resources on a host held by tasks that were ordered to end.
    pub fn leaving_on(&self, host: &str) -> Resources {
        self.leaving_by_host.get(host).copied().unwrap_or_default()
    }

    /// Resources that the tasks of a team hold on all hosts.
    pub fn team_usage(&self, team: &str) -> Resources {
        self.held_by_team.get(team).copied().unwrap_or_default()
    }

    /// Counts a task that is planned to start.
    pub fn add_placed(&mut self, host: &Arc<str>, team: &Arc<str>, size: Resources) {
        add_to(&mut self.held_by_host, host, size);
        add_to(&mut self.held_by_team, team, size);
    }

    /// Counts a task that is ordered to end.
    pub fn add_leaving(&mut self, host: &Arc<str>, size: Resources) {
        add_to(&mut self.leaving_by_host, host, size);
    }

    /// Whether the job was given up, or is planned to be.
    pub fn is_stopped(&self, job: &str) -> bool {
        self.stopped.contains(job)
    }

    /// Records that the job is planned to be given up.
    pub fn mark_stopped(&mut self, job: &Arc<str>) {
        self.stopped.insert(Arc::clone(job));
    }

    /// Whether the host is planned to be quarantined.
    pub fn is_quarantined(&self, host: &str) -> bool {
        self.quarantined.contains(host)
    }

    /// Records that the host is planned to be quarantined.
    pub fn mark_quarantined(&mut self, host: &Arc<str>) {
        self.quarantined.insert(Arc::clone(host));
    }

    fn add(&mut self, task: LiveTask<'a>) {
        let used = task.report.map_or(task.size, |report| {
            componentwise_max(task.size, report.usage)
        });
        add_to(&mut self.held_by_host, &task.record.host, used);
        if let Some(spec) = task.spec {
            add_to(&mut self.held_by_team, &spec.team, task.size);
        }
        if task.is_leaving() {
            self.add_leaving(&task.record.host, used);
        }
        self.live_or_finished.insert((task.job, task.index));
        self.live.push(task);
    }
}

impl LiveTask<'_> {
    /// Priority of the job; the lowest priority for a withdrawn job.
    pub fn priority(&self) -> JobPriority {
        self.spec.map_or(JobPriority::Batch, |spec| spec.priority)
    }

    /// Whether the task was ordered to end, with or without a checkpoint.
    pub fn is_leaving(&self) -> bool {
        self.record.order > Some(TaskOrderKind::Throttle)
    }
}

/// Status of an attempt according to its record, its report and its host.
fn status(
    task: &TaskRecord,
    report: Option<&TaskObservation>,
    host: Option<&Host<'_>>,
    (now, wait_for_lease): (Duration, bool),
) -> TaskStatus {
    match report.map(|report| report.phase) {
        Some(TaskPhase::Finished) => return TaskStatus::Finished,
        Some(phase) if !phase.holds_resources() => return TaskStatus::Ended,
        _ => {}
    }
    // A task that its host does not report is gone only once the host holds no lease.
    let Some(host) = host else {
        return TaskStatus::Live;
    };
    let gone = match host.record.map(|record| &record.ownership) {
        Some(Ownership::Released { .. }) | None => true,
        Some(Ownership::Draining { .. }) if host.is_drained() => true,
        Some(_) => host.is_failed() && (host.silent_for() >= LEASE_EXPIRY || !wait_for_lease),
    };
    // An attempt that was ordered to end is not started again, so that without a report it is over.
    let never_started = report.is_none() && host.is_healthy();
    let ordered_to_end = task.order > Some(TaskOrderKind::Throttle);
    let expired = ordered_to_end
        && task
            .ordered_at
            .is_some_and(|ordered_at| now >= ordered_at + LEASE_EXPIRY);
    if gone || (never_started && expired) {
        TaskStatus::Ended
    } else {
        TaskStatus::Live
    }
}

/// Adds `size` to the sum under `key`.
fn add_to(sums: &mut BTreeMap<Arc<str>, Resources>, key: &Arc<str>, size: Resources) {
    match sums.get_mut(key) {
        Some(sum) => *sum = sum.plus(size),
        None => drop(sums.insert(Arc::clone(key), size)),
    }
}

fn componentwise_max(a: Resources, b: Resources) -> Resources {
    Resources::new(
        a.millicores.max(b.millicores),
        a.memory_mb.max(b.memory_mb),
        a.accelerators.max(b.accelerators),
    )
}
