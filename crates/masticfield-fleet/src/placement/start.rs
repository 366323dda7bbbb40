//! Starting the tasks that jobs lack.

use std::sync::Arc;

use masticfield_core::fleet::{Action, Reason};
use masticfield_core::note::{JobPriority, JobSpec, Resources, TeamSpec};

use super::{LiveTask, Load, attribution, relief};
use crate::index::{HostKey, OwnershipPhase, Pool};
use crate::plan::Draft;
use crate::view::TaskOrderKind;

/// Starts missing tasks, highest priority first.
pub fn plan(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    let config = draft.index().view().config;
    let mut jobs: Vec<_> = config.jobs().values().collect();
    jobs.sort_by(|a, b| b.priority.cmp(&a.priority).then(a.name.cmp(&b.name)));
    for job in jobs {
        if !load.is_stopped(&job.name) {
            start_job(draft, load, job);
        }
    }
}

fn start_job(draft: &mut Draft<'_>, load: &mut Load<'_>, job: &JobSpec) {
    let estimates = draft.index().view().estimates;
    let size = estimates.size(&job.name).unwrap_or(job.size);
    let missing: Vec<_> = (0..job.tasks)
        .filter(|it| !load.is_live_or_finished(&job.name, *it))
        .collect();
    if missing.is_empty() {
        return;
    }
    if never_fits(draft, job, size) {
        return attribution::stop(draft, load, &job.name, Reason::NeverFits { size });
    }
    for index in missing {
        if !draft.has_capacity() || !within_quota(draft, load, job, size) {
            return;
        }
        let Some(host) = find_host(draft, load, job, size) else {
            if job.priority == JobPriority::Urgent {
                displace(draft, load, job, size);
            }
            return;
        };
        start_task(draft, load, job, index, host, size);
    }
}

fn start_task(
    draft: &mut Draft<'_>,
    load: &mut Load<'_>,
    job: &JobSpec,
    index: u32,
    host: HostKey,
    size: Resources,
) {
    let record = draft.index().view().jobs.get(&job.name);
    let last = record.and_then(|record| record.tasks.get(&index));
    let host = draft.host(host);
    let (name, generation) = (Arc::clone(host.name), host.generation());
    let action = Action::StartTask {
        job: Arc::clone(&job.name),
        index,
        attempt: last.map_or(0, |task| task.attempt) + 1,
        host: Arc::clone(&name),
        generation,
        size,
    };
    if draft.add(action, Reason::TaskMissing) {
        load.add_placed(&name, &job.team, size);
    }
}

/// Whether no host that the job's pool may own holds a task even when empty.
fn never_fits(draft: &Draft<'_>, job: &JobSpec, size: Resources) -> bool {
    let Some(pool) = draft.index().pool_key(&job.pool) else {
        return false;
    };
    let pool = draft.pool(pool);
    let hosts = draft.index().hosts().filter(|(_, host)| pool.accepts(host));
    let mut capacities = hosts.filter_map(|(_, host)| host.capacity()).peekable();
    capacities.peek().is_some() && !capacities.any(|capacity| size.fits_into(capacity))
}

fn within_quota(draft: &Draft<'_>, load: &Load<'_>, job: &JobSpec, size: Resources) -> bool {
    let team = draft.index().view().config.teams().get(&job.team);
    team.is_some_and(|team| load.team_usage(&job.team).plus(size).fits_into(quota(team)))
}

const fn quota(team: &TeamSpec) -> Resources {
    Resources::new(
        team.cores.saturating_mul(1_000),
        team.memory_gb.saturating_mul(1_024),
        team.accelerators,
    )
}

/// The host of the pool that the task fills best.
fn find_host(
    draft: &Draft<'_>,
    load: &Load<'_>,
    job: &JobSpec,
    size: Resources,
) -> Option<HostKey> {
    let candidates = candidates(draft, load, job).into_iter();
    let fits =
        candidates.filter(|key| !draft.guards().fit || size.fits_into(room(draft, load, *key)));
    fits.min_by(|a, b| {
        let (room_a, room_b) = (room(draft, load, *a), room(draft, load, *b));
        let rank = |room: Resources| (room.millicores, room.memory_mb);
        rank(room_a)
            .cmp(&rank(room_b))
            .then(draft.host(*a).name.cmp(draft.host(*b).name))
    })
}

/// Healthy hosts of the job's pool that take tasks and on which the job has not failed.
fn candidates(draft: &Draft<'_>, load: &Load<'_>, job: &JobSpec) -> Vec<HostKey> {
    let Some(pool) = draft.index().pool_key(&job.pool) else {
        return Vec::new();
    };
    let failures = draft.index().view().estimates.failures();
    let now = draft.index().now();
    let pool: &Pool<'_> = draft.pool(pool);
    let takes = |key: &HostKey| {
        let host = draft.host(*key);
        let quarantined = host.record.and_then(|record| record.quarantined_until);
        let held_back = quarantined.is_some_and(|it| it > now) || load.is_quarantined(host.name);
        let owned = host.ownership_phase() == OwnershipPhase::Owned;
        owned && host.is_healthy() && !held_back && !failures.has_failed_on(&job.name, host.name)
    };
    pool.serving.iter().copied().filter(takes).collect()
}

fn room(draft: &Draft<'_>, load: &Load<'_>, key: HostKey) -> Resources {
    let host = draft.host(key);
    host.capacity()
        .unwrap_or_default()
        .minus(load.held_on(host.name))
}

/// Makes lower work of one host checkpoint until an urgent task fits there.
fn displace(draft: &mut Draft<'_>, load: &mut Load<'_>, job: &JobSpec, size: Resources) {
    let candidates = candidates(draft, load, job);
    let soon = |load: &Load<'_>, key: HostKey| {
        let name = draft.host(key).name;
        room(draft, load, key).plus(load.leaving_on(name))
    };
    if candidates
        .iter()
        .any(|key| size.fits_into(soon(load, *key)))
    {
        return;
    }
    let mut best: Option<Vec<LiveTask<'_>>> = None;
    for key in candidates {
        let name = draft.host(key).name;
        let mut lower: Vec<_> = load
            .live()
            .iter()
            .filter(|it| {
                it.record.host == *name && it.priority() < job.priority && !it.is_leaving()
            })
            .cloned()
            .collect();
        lower.sort_by(|a, b| {
            a.priority()
                .cmp(&b.priority())
                .then(b.size.millicores.cmp(&a.size.millicores))
        });
        let mut room = soon(load, key);
        let needed = lower.iter().position(|task| {
            room = room.plus(task.size);
            size.fits_into(room)
        });
        let Some(needed) = needed else { continue };
        lower.truncate(needed + 1);
        if best.as_ref().is_none_or(|best| lower.len() < best.len()) {
            best = Some(lower);
        }
    }
    for task in best.unwrap_or_default() {
        let by = Arc::clone(&job.name);
        relief::order(
            draft,
            load,
            &task,
            TaskOrderKind::Checkpoint,
            Reason::Displaced { by },
        );
    }
}
