//! The reports for operators, derived from the replicated state.

use std::collections::BTreeMap;
use std::sync::Arc;

use masticfield_core::fleet::{HostHealth, Ownership, TaskPhase};
use masticfield_core::note::{HostSpec, ReleaseNote};
use masticfield_core::operator::{
    FleetStatus, HistoryRow, HostRow, JobRow, PlanPreview, PoolRow, Problem, ServiceRow,
    UpstreamRow,
};
use masticfield_fleet::view::{HostRecord, HostRecords};
use masticfield_replica::ReplicaStatus;
use masticfield_state::{Placement, PlacementState, State, Subject};

use crate::planner::HealthTable;

/// Previews what a release note would change.
pub(super) fn preview(state: &State, note: &ReleaseNote) -> Result<PlanPreview, Problem> {
    let current = state.config();
    let next = current
        .apply(note)
        .map_err(|error| Problem::NoteRefused { error })?;
    let mut hosts = HostRecords::default();
    for (host, ownership) in state.hosts().ownership() {
        hosts.insert(Arc::clone(host), HostRecord::new(ownership.clone()));
    }
    Ok(masticfield_fleet::preview(current, &next, &hosts))
}

/// The configured hosts, sorted by name.
pub(super) fn hosts(state: &State, health: &HealthTable) -> Vec<HostRow> {
    let hosts = state.config().hosts().values();
    hosts.map(|host| host_row(state, host, health)).collect()
}

/// The configured jobs, sorted by name.
pub(super) fn jobs(state: &State) -> Vec<JobRow> {
    let mut counts: BTreeMap<&str, TaskCounts> = BTreeMap::new();
    for (key, placement) in state.tasks().iter() {
        counts.entry(&key.job).or_default().add(placement);
    }
    let jobs = state.config().jobs().values();
    jobs.map(|job| {
        let counts = counts.get(&*job.name).copied().unwrap_or_default();
        let stopped = state.tasks().stopped_jobs().contains(&job.name);
        JobRow {
            job: Arc::clone(&job.name),
            pool: Arc::clone(&job.pool),
            team: Arc::clone(&job.team),
            wanted: job.tasks,
            running: counts.running,
            finished: counts.finished,
            note: stopped.then(|| "stopped; see explain job".into()),
        }
    })
    .collect()
}

/// The history of one host, pool, job or note.
///
/// # Errors
///
/// Fails if there is no such kind, or neither a configured item nor history under the name.
pub(super) fn explain(state: &State, kind: &str, name: &str) -> Result<Vec<HistoryRow>, Problem> {
    let not_found = || Problem::NotFound {
        kind: kind.into(),
        name: name.into(),
    };
    let subject: Subject = kind.parse().map_err(|_unknown_kind| not_found())?;
    let rows = state.explain(subject, name);
    let configured = match subject {
        Subject::Host => state.config().hosts().contains_key(name),
        Subject::Pool => state.config().pools().contains_key(name),
        Subject::Job => state.config().jobs().contains_key(name),
        Subject::Note => false,
    };
    if rows.is_empty() && !configured {
        return Err(not_found());
    }
    Ok(rows)
}

/// The history from log index `since` on.
pub(super) fn history(state: &State, since: u64) -> Vec<HistoryRow> {
    state
        .history()
        .rows()
        .filter(|row| row.index >= since)
        .cloned()
        .collect()
}

/// The status of the installation; the caller adds the entries and whether the version is in force.
pub(super) fn status(
    state: &State,
    replica: ReplicaStatus,
    upstreams: &[UpstreamRow],
    health: &HealthTable,
) -> FleetStatus {
    FleetStatus {
        replica: replica.id,
        leader: replica.leader,
        version: state.config().version(),
        in_force: false,
        entries: Vec::new(),
        pools: pools(state, health),
        services: services(state, upstreams),
    }
}

/// The value of `since` in a query string; 0 if it is missing or malformed.
pub(super) fn since(query: &str) -> u64 {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = pairs
        .filter(|(key, _)| *key == "since")
        .map(|(_, value)| value);
    values
        .next()
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}

fn pools(state: &State, health: &HealthTable) -> Vec<PoolRow> {
    let pools = state.config().pools().values();
    pools
        .map(|pool| {
            let hosts = state.hosts().ownership();
            let owned: Vec<_> = hosts
                .filter(|(_, ownership)| ownership.pool() == Some(&pool.name))
                .collect();
            let healthy = owned
                .iter()
                .filter(|(host, _)| health.get(host) == Some(HostHealth::Healthy));
            let draining = owned
                .iter()
                .filter(|(_, ownership)| matches!(ownership, Ownership::Draining { .. }));
            PoolRow {
                pool: Arc::clone(&pool.name),
                needed: pool.hosts,
                owned: count(owned.len()),
                healthy: count(healthy.count()),
                draining: count(draining.count()),
            }
        })
        .collect()
}

fn host_row(state: &State, spec: &HostSpec, health: &HealthTable) -> HostRow {
    let ownership = state
        .hosts()
        .host(&spec.name)
        .map(masticfield_state::HostRecord::ownership);
    let state_text = match ownership {
        Some(Ownership::Owned { .. }) => "owned",
        Some(Ownership::Draining { .. }) => "draining",
        Some(Ownership::Released { .. }) => "released",
        None => "new",
    };
    HostRow {
        host: Arc::clone(&spec.name),
        zone: Arc::clone(&spec.zone),
        rack: Arc::clone(&spec.rack),
        pool: ownership.and_then(Ownership::pool).cloned(),
        generation: ownership.map_or(0, |ownership| ownership.generation().number()),
        state: state_text.into(),
        health: health_text(health.get(&spec.name)).into(),
    }
}

const fn health_text(health: Option<HostHealth>) -> &'static str {
    match health {
        Some(HostHealth::Healthy) => "healthy",
        Some(HostHealth::Suspect) => "suspect",
        Some(HostHealth::Rebooting) => "rebooting",
        Some(HostHealth::Failed) => "failed",
        None => "unseen",
    }
}

/// Tasks of a job by phase; other ends than `Finished` are not counted.
#[derive(Debug, Clone, Copy, Default)]
struct TaskCounts {
    running: u32,
    finished: u32,
}

impl TaskCounts {
    const fn add(&mut self, placement: &Placement) {
        match placement.state {
            PlacementState::Ended(TaskPhase::Finished) => self.finished += 1,
            PlacementState::Ended(_) => {}
            _ => self.running += 1,
        }
    }
}

/// Converts a length to a count, which it saturates.
fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn services(state: &State, upstreams: &[UpstreamRow]) -> Vec<ServiceRow> {
    let services = state.config().services().values();
    services
        .map(|service| {
            let serving = upstreams.iter().filter(|upstream| {
                upstream.service == service.name && &*upstream.state == "serving"
            });
            ServiceRow {
                service: Arc::clone(&service.name),
                pool: Arc::clone(&service.pool),
                executors: service.executors,
                serving: count(serving.count()),
                availability: service.promise.availability,
                budget_left_s: service.promise.budget().as_secs(),
            }
        })
        .collect()
}
