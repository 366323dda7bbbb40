//! The planner's input from the replicated state.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::{Action, Observation, Ownership, Planned, Reason, TaskObservation};
use masticfield_core::note::Resources;
use masticfield_fleet::view::{
    HostRecord, HostRecords, JobRecord, JobRecords, RebootOrder, TaskOrderKind, TaskRecord,
};
use masticfield_state::{Placement, PlacementState, State};

/// Details of the leader's own actions that the replicated state does not hold, by host.
#[derive(Debug, Clone, Default)]
pub(super) struct IssuedActions {
    drain_reasons: BTreeMap<Arc<str>, Reason>,
    reboots: BTreeMap<Arc<str>, RebootOrder>,
}

/// The part of the planner's input that is replicated.
#[derive(Debug, Clone)]
pub(super) struct RecordedState {
    /// The latest accepted configuration.
    pub config: FleetConfig,
    /// Every host that was ever owned by a pool.
    pub hosts: HostRecords,
    /// Every job that has placements or was stopped.
    pub jobs: JobRecords,
    /// Tasks whose end is recorded.
    ended_tasks: Vec<TaskObservation>,
}

impl IssuedActions {
    /// Records an action that was committed at `now`, measured from the Unix epoch.
    pub(super) fn record(&mut self, planned: &Planned, now: Duration) {
        match &planned.action {
            Action::Drain { host, .. } => {
                self.drain_reasons
                    .insert(Arc::clone(host), planned.reason.clone());
            }
            Action::Reboot {
                host, completed, ..
            } => {
                let completed = *completed;
                let order = RebootOrder {
                    ordered_at: now,
                    completed,
                };
                self.reboots.insert(Arc::clone(host), order);
            }
            Action::Resume { host, .. } | Action::Release { host, .. } => {
                self.drain_reasons.remove(host);
                self.reboots.remove(host);
            }
            _ => {}
        }
    }

    /// The reason for which a host drains; none if it does not drain, or if only an earlier leader
    /// knew the reason.
    fn drain_reason(&self, name: &str, host: &masticfield_state::HostRecord) -> Option<Reason> {
        if !matches!(host.ownership(), Ownership::Draining { .. }) {
            return None;
        }
        if host.is_held_by_operator() {
            return Some(Reason::Operator);
        }
        let maintenance = host
            .reboot_programme()
            .map(|programme| Reason::MaintenanceDue {
                programme: Arc::clone(programme),
            });
        self.drain_reasons.get(name).cloned().or(maintenance)
    }

    /// The reboot of a host that this leader ordered and that is not over yet.
    fn reboot(&self, name: &str, host: &masticfield_state::HostRecord) -> Option<RebootOrder> {
        host.reboot_programme()?;
        self.reboots.get(name).copied()
    }
}

impl RecordedState {
    /// Reads the state and adds the details of the actions that this leader issued.
    pub(super) fn read(state: &State, issued: &IssuedActions) -> Self {
        let mut hosts = HostRecords::default();
        let owned = state
            .hosts()
            .iter()
            .filter(|(_, host)| host.ownership().generation().number() > 0);
        for (name, host) in owned {
            let mut record = HostRecord::new(host.ownership().clone());
            record.drain_reason = issued.drain_reason(name, host);
            record.reboot = issued.reboot(name, host);
            for (programme, at_ms) in host.last_maintained() {
                record =
                    record.with_maintenance(Arc::clone(programme), Duration::from_millis(*at_ms));
            }
            let until = Duration::from_millis(host.quarantined_until_ms());
            record.quarantined_until = Some(until).filter(|until| !until.is_zero());
            hosts.insert(Arc::clone(name), record);
        }
        let jobs = job_records(state);
        let config = state.config().clone();
        Self {
            config,
            hosts,
            jobs,
            ended_tasks: ended_tasks(state),
        }
    }

    /// Adds to an observation the ended tasks that the platform no longer reports.
    pub(super) fn with_ended_tasks(&self, observation: &Observation) -> Observation {
        let mut complete = observation.clone();
        let reported: BTreeSet<_> = observation
            .tasks
            .iter()
            .map(|task| (&task.job, task.index, task.attempt))
            .collect();
        let unreported = self
            .ended_tasks
            .iter()
            .filter(|task| !reported.contains(&(&task.job, task.index, task.attempt)));
        complete.tasks.extend(unreported.cloned());
        complete
    }
}

fn ended_tasks(state: &State) -> Vec<TaskObservation> {
    let ended = state.tasks().iter().filter_map(|(key, placement)| {
        let PlacementState::Ended(phase) = placement.state else {
            return None;
        };
        Some(TaskObservation {
            job: Arc::clone(&key.job),
            index: key.index,
            attempt: placement.attempt,
            host: Arc::clone(&placement.host),
            phase,
            usage: Resources::default(),
            running_for: Duration::ZERO,
        })
    });
    ended.collect()
}

fn job_records(state: &State) -> JobRecords {
    let mut records: BTreeMap<Arc<str>, JobRecord> = BTreeMap::new();
    for (key, placement) in state.tasks().iter() {
        let record = records.entry(Arc::clone(&key.job)).or_default();
        record.tasks.insert(key.index, task_record(placement));
    }
    for job in state.tasks().stopped_jobs() {
        records.entry(Arc::clone(job)).or_default().stopped = true;
    }
    let mut jobs = JobRecords::default();
    for (job, record) in records {
        jobs.insert(job, record);
    }
    jobs
}

fn task_record(placement: &Placement) -> TaskRecord {
    let order = match placement.state {
        PlacementState::Throttled => Some(TaskOrderKind::Throttle),
        PlacementState::Checkpointing => Some(TaskOrderKind::Checkpoint),
        PlacementState::Stopping => Some(TaskOrderKind::Stop),
        PlacementState::Running | PlacementState::Ended(_) => None,
    };
    TaskRecord {
        attempt: placement.attempt,
        host: Arc::clone(&placement.host),
        size: placement.size,
        placed_at: Duration::from_millis(placement.placed_at_ms),
        order,
        ordered_at: None,
    }
}
