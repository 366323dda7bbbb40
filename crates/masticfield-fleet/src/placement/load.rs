//! What runs where, by what is known.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Ownership, TaskObservation, TaskPhase};
use masticfield_core::note::{JobPriority, JobSpec, Resources};

use crate::index::{FleetIndex, Host};
use crate::plan::LEASE_EXPIRY;
use crate::view::{TaskOrderKind, TaskRecord};

/// A task that holds resources of a host, or may.
#[derive(Debug, Clone)]
pub struct LiveTask<'a> {
    /// Its job.
    pub job: &'a Arc<str>,
    /// The declaration of its job; none once it is withdrawn.
    pub spec: Option<&'a JobSpec>,
    /// Number of the task within its job.
    pub index: u32,
    /// Its durable record.
    pub record: &'a TaskRecord,
    /// Its latest report.
    pub report: Option<&'a TaskObservation>,
    /// What it is known to need.
    pub size: Resources,
}

/// How far the latest attempt at a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskStatus {
    /// It runs, or may run.
    Live,
    /// It ended well.
    Finished,
    /// It ended otherwise, or cannot run any more.
    Ended,
}

/// The live tasks, with the room that they leave.
#[derive(Debug, Clone, Default)]
pub struct Load<'a> {
    live: Vec<LiveTask<'a>>,
    settled: BTreeSet<(&'a str, u32)>,
    held: BTreeMap<Arc<str>, Resources>,
    leaving: BTreeMap<Arc<str>, Resources>,
    teams: BTreeMap<Arc<str>, Resources>,
    stopped: BTreeSet<Arc<str>>,
    quarantined: BTreeSet<Arc<str>>,
}

impl<'a> Load<'a> {
    /// Counts the tasks of a fleet.
    pub fn new(index: &FleetIndex<'a>, waits_for_lease: bool) -> Self {
        let view = *index.view();
        let latest = view.observation.tasks.iter();
        let seen: BTreeMap<_, _> = latest
            .filter(|task| view.jobs.is_latest(task))
            .map(|task| ((&*task.job, task.index), task))
            .collect();
        let mut load = Self::default();
        for (job, record) in view.jobs.iter() {
            if record.stopped {
                load.stopped.insert(Arc::clone(job));
            }
            let spec = view.config.jobs().get(job);
            for (number, task) in &record.tasks {
                let seen = seen.get(&(&**job, *number)).copied();
                let host = index.host_key(&task.host).map(|key| index.host(key));
                match standing(task, seen, host, (index.now(), waits_for_lease)) {
                    TaskStatus::Live => load.add(LiveTask {
                        job,
                        spec,
                        index: *number,
                        record: task,
                        report: seen,
                        size: view.estimates.size(job).unwrap_or(task.size),
                    }),
                    TaskStatus::Finished => {
                        load.settled.insert((job, *number));
                    }
                    TaskStatus::Ended => {}
                }
            }
        }
        load
    }

    /// The live tasks.
    pub fn live(&self) -> &[LiveTask<'a>] {
        &self.live
    }

    /// Whether a task is live or finished.
    pub fn is_live_or_finished(&self, job: &str, index: u32) -> bool {
        self.settled.contains(&(job, index))
    }

    /// What tasks hold on a host.
    pub fn held_on(&self, host: &str) -> Resources {
        self.held.get(host).copied().unwrap_or_default()
    }

    /// What tasks on a host hold that were told to end.
    pub fn leaving_on(&self, host: &str) -> Resources {
        self.leaving.get(host).copied().unwrap_or_default()
    }

    /// What the tasks of a team hold.
    pub fn team_usage(&self, team: &str) -> Resources {
        self.teams.get(team).copied().unwrap_or_default()
    }

    /// Counts a task that is being placed.
    pub fn add_placed(&mut self, host: &Arc<str>, team: &Arc<str>, size: Resources) {
        add_to(&mut self.held, host, size);
        add_to(&mut self.teams, team, size);
    }

    /// Counts a task that is told to end.
    pub fn add_leaving(&mut self, host: &Arc<str>, size: Resources) {
        add_to(&mut self.leaving, host, size);
    }

    /// Whether the system gave up on a job.
    pub fn is_stopped(&self, job: &str) -> bool {
        self.stopped.contains(job)
    }

    /// Notes that the system gives up on a job.
    pub fn mark_stopped(&mut self, job: &Arc<str>) {
        self.stopped.insert(Arc::clone(job));
    }

    /// Whether a host is being quarantined.
    pub fn is_quarantined(&self, host: &str) -> bool {
        self.quarantined.contains(host)
    }

    /// Notes that a host is being quarantined.
    pub fn mark_quarantined(&mut self, host: &Arc<str>) {
        self.quarantined.insert(Arc::clone(host));
    }

    fn add(&mut self, task: LiveTask<'a>) {
        let used = task
            .report
            .map_or(task.size, |seen| largest(task.size, seen.usage));
        add_to(&mut self.held, &task.record.host, used);
        if let Some(spec) = task.spec {
            add_to(&mut self.teams, &spec.team, task.size);
        }
        if task.is_leaving() {
            self.add_leaving(&task.record.host, used);
        }
        self.settled.insert((task.job, task.index));
        self.live.push(task);
    }
}

impl LiveTask<'_> {
    /// Priority of its job; that of a withdrawn job is the lowest.
    pub fn priority(&self) -> JobPriority {
        self.spec.map_or(JobPriority::Batch, |spec| spec.priority)
    }

    /// Whether it was told to end.
    pub fn is_leaving(&self) -> bool {
        self.record.order > Some(TaskOrderKind::Throttle)
    }
}

/// How far an attempt is, by the record, its report and its host.
fn standing(
    task: &TaskRecord,
    seen: Option<&TaskObservation>,
    host: Option<&Host<'_>>,
    (now, waits_for_lease): (Duration, bool),
) -> TaskStatus {
    match seen.map(|seen| seen.phase) {
        Some(TaskPhase::Finished) => return TaskStatus::Finished,
        Some(phase) if !phase.holds_resources() => return TaskStatus::Ended,
        _ => {}
    }
    // A task that no host reports is gone only once its host holds no lease any more.
    let Some(host) = host else {
        return TaskStatus::Live;
    };
    let gone = match host.record.map(|record| &record.ownership) {
        Some(Ownership::Released { .. }) | None => true,
        Some(Ownership::Draining { .. }) if host.is_drained() => true,
        Some(_) => host.is_failed() && (host.silent_for() >= LEASE_EXPIRY || !waits_for_lease),
    };
    // An attempt that was told to end is not started again, so without a report it is over.
    let never_started = seen.is_none() && host.is_healthy();
    let told = task.order > Some(TaskOrderKind::Throttle);
    let over = told && task.ordered_at.is_some_and(|at| now >= at + LEASE_EXPIRY);
    if gone || (never_started && over) {
        TaskStatus::Ended
    } else {
        TaskStatus::Live
    }
}

fn add_to(sums: &mut BTreeMap<Arc<str>, Resources>, key: &Arc<str>, size: Resources) {
    match sums.get_mut(key) {
        Some(sum) => *sum = sum.plus(size),
        None => drop(sums.insert(Arc::clone(key), size)),
    }
}

fn largest(a: Resources, b: Resources) -> Resources {
    Resources::new(
        a.millicores.max(b.millicores),
        a.memory_mb.max(b.memory_mb),
        a.accelerators.max(b.accelerators),
    )
}
