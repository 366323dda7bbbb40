//! Starts of missing tasks.

use std::sync::Arc;

use masticfield_core::fleet::{Action, Reason};
use masticfield_core::note::{JobPriority, JobSpec, Resources};

use super::{LiveTask, Load, eviction, fault_attribution};
use crate::index::{HostKey, OwnershipPhase, Pool};
use crate::plan::Draft;
use crate::view::TaskOrderKind;

/// Plans the start of missing tasks, highest priority first.
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
        .filter(|index| !load.is_live_or_finished(&job.name, *index))
        .collect();
    if missing.is_empty() {
        return;
    }
    if never_fits(draft, job, size) {
        return fault_attribution::stop_job(draft, load, &job.name, Reason::NeverFits { size });
    }
    for index in missing {
        if !draft.has_capacity() || !within_quota(draft, load, job, size) {
            return;
        }
        let Some(host) = find_host(draft, load, job, size) else {
            if job.priority == JobPriority::Urgent {
                preempt(draft, load, job, size);
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

/// Whether a task is larger than every host that the job's pool may own.
///
/// `false` without such hosts, as hosts may be added later.
fn never_fits(draft: &Draft<'_>, job: &JobSpec, size: Resources) -> bool {
    let Some(pool) = draft.index().pool_key(&job.pool) else {
        return false;
    };
    let pool = draft.pool(pool);
    let hosts = draft.index().hosts().filter(|(_, host)| pool.accepts(host));
    let mut capacities = hosts.filter_map(|(_, host)| host.capacity()).peekable();
    capacities.peek().is_some() && !capacities.any(|capacity| size.fits_into(capacity))
}

/// Whether another task stays within the quota of the team.
fn within_quota(draft: &Draft<'_>, load: &Load<'_>, job: &JobSpec, size: Resources) -> bool {
    let team = draft.index().view().config.teams().get(&job.team);
    team.is_some_and(|team| {
        load.team_usage(&job.team)
            .plus(size)
            .fits_into(team.quota())
    })
}

/// The host with the least free capacity on which the task fits.
fn find_host(
    draft: &Draft<'_>,
    load: &Load<'_>,
    job: &JobSpec,
    size: Resources,
) -> Option<HostKey> {
    let candidates = candidates(draft, load, job).into_iter();
    let fitting = candidates
        .filter(|key| !draft.guards().fit || size.fits_into(free_capacity(draft, load, *key)));
    fitting.min_by(|a, b| {
        let (free_a, free_b) = (
            free_capacity(draft, load, *a),
            free_capacity(draft, load, *b),
        );
        let rank = |free: Resources| (free.millicores, free.memory_mb);
        rank(free_a)
            .cmp(&rank(free_b))
            .then(draft.host(*a).name.cmp(draft.host(*b).name))
    })
}

/// Healthy, unquarantined hosts of the job's pool on which the job has not failed.
fn candidates(draft: &Draft<'_>, load: &Load<'_>, job: &JobSpec) -> Vec<HostKey> {
    let Some(pool) = draft.index().pool_key(&job.pool) else {
        return Vec::new();
    };
    let failures = draft.index().view().estimates.failures();
    let now = draft.index().now();
    let pool: &Pool<'_> = draft.pool(pool);
    let accepts_tasks = |key: &HostKey| {
        let host = draft.host(*key);
        let quarantined_until = host.record.and_then(|record| record.quarantined_until);
        let is_quarantined =
            quarantined_until.is_some_and(|until| until > now) || load.is_quarantined(host.name);
        let is_owned = host.ownership_phase() == OwnershipPhase::Owned;
        is_owned
            && host.is_healthy()
            && !is_quarantined
            && !failures.has_failed_on(&job.name, host.name)
    };
    pool.serving.iter().copied().filter(accepts_tasks).collect()
}

/// Capacity of a host that no task holds.
fn free_capacity(draft: &Draft<'_>, load: &Load<'_>, key: HostKey) -> Resources {
    let host = draft.host(key);
    host.capacity()
        .unwrap_or_default()
        .minus(load.held_on(host.name))
}

/// Preempts tasks of lower priority on one host so that an urgent task will fit there.
///
/// The preempted tasks save a checkpoint. The host with the fewest of them is chosen; nothing is
/// preempted if the task will fit on a host once leaving tasks have ended.
fn preempt(draft: &mut Draft<'_>, load: &mut Load<'_>, job: &JobSpec, size: Resources) {
    let candidates = candidates(draft, load, job);
    let future_capacity = |load: &Load<'_>, key: HostKey| {
        let name = draft.host(key).name;
        free_capacity(draft, load, key).plus(load.leaving_on(name))
    };
    if candidates
        .iter()
        .any(|key| size.fits_into(future_capacity(load, *key)))
    {
        return;
    }
    let mut fewest: Option<Vec<LiveTask<'_>>> = None;
    for key in candidates {
        let name = draft.host(key).name;
        let mut lower: Vec<_> = load
            .live()
            .iter()
            .filter(|task| {
                task.record.host == *name && task.priority() < job.priority && !task.is_leaving()
            })
            .cloned()
            .collect();
        lower.sort_by(|a, b| {
            a.priority()
                .cmp(&b.priority())
                .then(b.size.millicores.cmp(&a.size.millicores))
        });
        let mut capacity = future_capacity(load, key);
        let last = lower.iter().position(|task| {
            capacity = capacity.plus(task.size);
            size.fits_into(capacity)
        });
        let Some(last) = last else { continue };
        lower.truncate(last + 1);
        if fewest
            .as_ref()
            .is_none_or(|fewest| lower.len() < fewest.len())
        {
            fewest = Some(lower);
        }
    }
    for task in fewest.unwrap_or_default() {
        let by = Arc::clone(&job.name);
        eviction::order(
            draft,
            load,
            &task,
            TaskOrderKind::Checkpoint,
            Reason::Displaced { by },
        );
    }
}
