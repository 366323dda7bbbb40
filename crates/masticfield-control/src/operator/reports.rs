//! The reports that operators read.

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

use crate::planner::Healths;

/// What a note would change, without changing it.
pub(super) fn preview(state: &State, note: &ReleaseNote) -> Result<PlanPreview, Problem> {
    let now = state.config();
    let next = now
        .apply(note)
        .map_err(|error| Problem::NoteRefused { error })?;
    let mut hosts = HostRecords::default();
    for (host, ownership) in state.hosts().ownership() {
        hosts.insert(Arc::clone(host), HostRecord::new(ownership.clone()));
    }
    Ok(masticfield_fleet::preview(now, &next, &hosts))
}

/// The hosts by name.
pub(super) fn hosts(state: &State, healths: &Healths) -> Vec<HostRow> {
    let hosts = state.config().hosts().values();
    hosts.map(|host| host_row(state, host, healths)).collect()
}

/// The jobs by name.
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

/// Why something is as it is.
pub(super) fn explain(state: &State, kind: &str, name: &str) -> Result<Vec<HistoryRow>, Problem> {
    let not_found = || Problem::NotFound {
        kind: kind.into(),
        name: name.into(),
    };
    let subject: Subject = kind.parse().map_err(|_unknown_kind| not_found())?;
    let rows = state.explain(subject, name);
    let known = match subject {
        Subject::Host => state.config().hosts().contains_key(name),
        Subject::Pool => state.config().pools().contains_key(name),
        Subject::Job => state.config().jobs().contains_key(name),
        Subject::Note => false,
    };
    if rows.is_empty() && !known {
        return Err(not_found());
    }
    Ok(rows)
}

/// The lines of the history from log index `since` on.
pub(super) fn history(state: &State, since: u64) -> Vec<HistoryRow> {
    state
        .history()
        .rows()
        .filter(|row| row.index >= since)
        .cloned()
        .collect()
}

/// The installation at a glance, without its entries.
pub(super) fn status(
    state: &State,
    replica: ReplicaStatus,
    upstreams: &[UpstreamRow],
    healths: &Healths,
) -> FleetStatus {
    FleetStatus {
        replica: replica.id,
        leader: replica.leader,
        version: state.config().version(),
        in_force: false,
        entries: Vec::new(),
        pools: pools(state, healths),
        services: services(state, upstreams),
    }
}

/// The value of `since` in a query, or 0.
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

fn pools(state: &State, seen: &Healths) -> Vec<PoolRow> {
    let pools = state.config().pools().values();
    pools
        .map(|pool| {
            let owners = state.hosts().ownership();
            let own: Vec<_> = owners
                .filter(|(_, own)| own.pool() == Some(&pool.name))
                .collect();
            let healthy = own
                .iter()
                .filter(|(host, _)| seen.get(host) == Some(HostHealth::Healthy));
            let draining = own
                .iter()
                .filter(|(_, own)| matches!(own, Ownership::Draining { .. }));
            PoolRow {
                pool: Arc::clone(&pool.name),
                needed: pool.hosts,
                owned: count(own.len()),
                healthy: count(healthy.count()),
                draining: count(draining.count()),
            }
        })
        .collect()
}

fn host_row(state: &State, spec: &HostSpec, healths: &Healths) -> HostRow {
    let ownership = state
        .hosts()
        .host(&spec.name)
        .map(masticfield_state::HostRecord::ownership);
    let text = match ownership {
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
        state: text.into(),
        health: health_text(healths.get(&spec.name)).into(),
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

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
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
