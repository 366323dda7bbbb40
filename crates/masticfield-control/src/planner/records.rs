//! The planner's records, read from the replicated state.

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

/// What a leader knows of its own orders beside the state.
#[derive(Debug, Clone, Default)]
pub(super) struct Orders {
    drained_for: BTreeMap<Arc<str>, Reason>,
    reboots: BTreeMap<Arc<str>, RebootOrder>,
}

/// The durable part of what the planner sees.
#[derive(Debug, Clone)]
pub(super) struct Records {
    /// The configuration.
    pub config: FleetConfig,
    /// The hosts.
    pub hosts: HostRecords,
    /// The jobs.
    pub jobs: JobRecords,
    /// Tasks that have ended, as the state keeps them.
    ended: Vec<TaskObservation>,
}

impl Orders {
    /// Notes an action that was committed.
    pub(super) fn note(&mut self, planned: &Planned, now: Duration) {
        match &planned.action {
            Action::Drain { host, .. } => {
                self.drained_for
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
                self.drained_for.remove(host);
                self.reboots.remove(host);
            }
            _ => {}
        }
    }

    /// Why a host drains, as far as it is known.
    fn drained_for(&self, name: &str, host: &masticfield_state::HostRecord) -> Option<Reason> {
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
        self.drained_for.get(name).cloned().or(maintenance)
    }

    /// The reboot of a host that is not over, as far as it is known.
    fn reboot(&self, name: &str, host: &masticfield_state::HostRecord) -> Option<RebootOrder> {
        host.reboot_programme()?;
        self.reboots.get(name).copied()
    }
}

impl Records {
    /// Reads the state.
    pub(super) fn read(state: &State, orders: &Orders) -> Self {
        let mut hosts = HostRecords::default();
        let owned = state
            .hosts()
            .iter()
            .filter(|(_, host)| host.ownership().generation().number() > 0);
        for (name, host) in owned {
            let mut record = HostRecord::new(host.ownership().clone());
            record.drain_reason = orders.drained_for(name, host);
            record.reboot = orders.reboot(name, host);
            for (programme, at_ms) in host.last_maintained() {
                record =
                    record.with_maintenance(Arc::clone(programme), Duration::from_millis(*at_ms));
            }
            let until = Duration::from_millis(host.quarantined_until_ms());
            record.quarantined_until = Some(until).filter(|until| !until.is_zero());
            hosts.insert(Arc::clone(name), record);
        }
        let jobs = jobs(state);
        let config = state.config().clone();
        Self {
            config,
            hosts,
            jobs,
            ended: ended(state),
        }
    }

    /// The observation with the ended tasks that the platform no longer reports.
    pub(super) fn with_ended_tasks(&self, seen: &Observation) -> Observation {
        let mut whole = seen.clone();
        let reported: BTreeSet<_> = seen
            .tasks
            .iter()
            .map(|task| (&task.job, task.index, task.attempt))
            .collect();
        let forgotten = self
            .ended
            .iter()
            .filter(|task| !reported.contains(&(&task.job, task.index, task.attempt)));
        whole.tasks.extend(forgotten.cloned());
        whole
    }
}

fn ended(state: &State) -> Vec<TaskObservation> {
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

fn jobs(state: &State) -> JobRecords {
    let mut records: BTreeMap<Arc<str>, JobRecord> = BTreeMap::new();
    for (key, placement) in state.tasks().iter() {
        let record = records.entry(Arc::clone(&key.job)).or_default();
        record.tasks.insert(key.index, task(placement));
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

fn task(placement: &Placement) -> TaskRecord {
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
