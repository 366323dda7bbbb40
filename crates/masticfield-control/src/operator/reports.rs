//! The reports that operators read.

use std::sync::Arc;

use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{
    FleetStatus, HistoryRow, HostRow, JobRow, PlanPreview, PoolRow, Problem, ServiceRow,
    UpstreamRow,
};
use masticfield_replica::ReplicaStatus;
use masticfield_state::State;

/// What a note would change, without changing it.
pub(super) fn preview(state: &State, note: &ReleaseNote) -> Result<PlanPreview, Problem> {
    let applied = state.config().apply(note);
    let next = applied.map_err(|error| Problem::NoteRefused { error })?;
    Ok(PlanPreview {
        number: next.version(),
        ..PlanPreview::default()
    })
}

/// The hosts by name.
pub(super) fn hosts(state: &State) -> Vec<HostRow> {
    let hosts = state.config().hosts().values();
    hosts
        .map(|host| HostRow {
            host: Arc::clone(&host.name),
            zone: Arc::clone(&host.zone),
            rack: Arc::clone(&host.rack),
            pool: None,
            generation: 0,
            state: "new".into(),
            health: "unseen".into(),
        })
        .collect()
}

/// The jobs by name.
pub(super) fn jobs(state: &State) -> Vec<JobRow> {
    let jobs = state.config().jobs().values();
    jobs.map(|job| JobRow {
        job: Arc::clone(&job.name),
        pool: Arc::clone(&job.pool),
        team: Arc::clone(&job.team),
        wanted: job.tasks,
        running: 0,
        finished: 0,
        note: None,
    })
    .collect()
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
) -> FleetStatus {
    FleetStatus {
        replica: replica.id,
        leader: replica.leader,
        version: state.config().version(),
        in_force: false,
        entries: Vec::new(),
        pools: pools(state),
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

fn pools(state: &State) -> Vec<PoolRow> {
    let pools = state.config().pools().values();
    pools
        .map(|pool| PoolRow {
            pool: Arc::clone(&pool.name),
            needed: pool.hosts,
            owned: 0,
            healthy: 0,
            draining: 0,
        })
        .collect()
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
                serving: u32::try_from(serving.count()).unwrap_or(u32::MAX),
                availability: service.promise.availability,
                budget_left_s: service.promise.budget().as_secs(),
            }
        })
        .collect()
}
