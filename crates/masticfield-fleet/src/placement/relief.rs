//! Tasks that have to go: unwanted ones, those on draining hosts, and those of full hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Reason};
use masticfield_core::note::Resources;

use super::{LiveTask, Load};
use crate::index::OwnershipPhase;
use crate::plan::Draft;
use crate::view::TaskOrderKind;

/// Tasks of withdrawn jobs that are stopped in one plan, at most.
const CANCELLATIONS: usize = 32;

/// Time within which a checkpoint ends a task.
const CHECKPOINT_LIMIT: Duration = Duration::from_mins(2);

/// Time for a measure to show in the usage, which is reported with a lag.
const RELIEF_SHOWS: Duration = Duration::from_secs(30);

/// Stops tasks of jobs that were withdrawn or given up on, a batch in each plan.
pub fn end_unwanted(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    let unwanted = |task: &&LiveTask<'_>| {
        let surplus = task.spec.is_none_or(|spec| task.index >= spec.tasks);
        (surplus || load.is_stopped(task.job)) && task.record.order < Some(TaskOrderKind::Stop)
    };
    let tasks: Vec<_> = load
        .live()
        .iter()
        .filter(unwanted)
        .take(CANCELLATIONS)
        .cloned()
        .collect();
    for task in tasks {
        order(
            draft,
            load,
            &task,
            TaskOrderKind::Stop,
            Reason::JobWithdrawn,
        );
    }
}

/// Checkpoints the tasks of draining hosts, so that they go on elsewhere.
///
/// A task that does not end by its checkpoint is stopped, so that no drain waits for ever.
pub fn leave_draining(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    let now = draft.index().now();
    let draining = |task: &&LiveTask<'_>| {
        let host = draft.index().host_key(&task.record.host);
        let host = host.map(|key| draft.host(key));
        let drains = host
            .is_some_and(|it| it.ownership_phase() == OwnershipPhase::Draining && !it.is_failed());
        let ordered = task.record.ordered_at.filter(|_| task.is_leaving());
        let waits = ordered.is_some_and(|at| now < at + CHECKPOINT_LIMIT);
        drains && !waits && task.record.order < Some(TaskOrderKind::Stop)
    };
    let tasks: Vec<_> = load.live().iter().filter(draining).cloned().collect();
    for task in tasks {
        let host = draft.index().host_key(&task.record.host);
        let reason = host.and_then(|key| draft.host(key).drain_reason().cloned());
        let reason = reason.unwrap_or(Reason::Operator);
        let kind = if task.is_leaving() {
            TaskOrderKind::Stop
        } else {
            TaskOrderKind::Checkpoint
        };
        order(draft, load, &task, kind, reason);
    }
}

/// Takes one step for each host that uses more than it has, lowest priority first.
pub fn relieve(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    for host in overcommitted(draft, load) {
        let mut tasks: Vec<_> = load
            .live()
            .iter()
            .filter(|it| it.record.host == host)
            .cloned()
            .collect();
        tasks.sort_by(|a, b| {
            a.priority()
                .cmp(&b.priority())
                .then(b.record.placed_at.cmp(&a.record.placed_at))
        });
        let now = draft.index().now();
        let waits = tasks.iter().any(|task| {
            let ordered = task.record.ordered_at;
            ordered.is_some_and(|at| now < at + RELIEF_SHOWS)
        });
        let next = tasks
            .iter()
            .find(|it| it.record.order < Some(TaskOrderKind::Stop));
        if let Some(task) = next.filter(|_| !waits) {
            let next = match task.record.order {
                None => TaskOrderKind::Throttle,
                Some(TaskOrderKind::Throttle) => TaskOrderKind::Checkpoint,
                Some(_) => TaskOrderKind::Stop,
            };
            order(draft, load, task, next, Reason::Overcommitted);
        }
    }
}

/// Plans an order to a task.
pub(super) fn order(
    draft: &mut Draft<'_>,
    load: &mut Load<'_>,
    task: &LiveTask<'_>,
    kind: TaskOrderKind,
    reason: Reason,
) {
    let (job, index, attempt) = (Arc::clone(task.job), task.index, task.record.attempt);
    let action = match kind {
        TaskOrderKind::Throttle => Action::ThrottleTask {
            job,
            index,
            attempt,
        },
        TaskOrderKind::Checkpoint => Action::CheckpointTask {
            job,
            index,
            attempt,
        },
        TaskOrderKind::Stop => Action::StopTask {
            job,
            index,
            attempt,
        },
    };
    if draft.add(action, reason) && kind != TaskOrderKind::Throttle {
        load.add_leaving(&task.record.host, task.size);
    }
}

/// Hosts whose tasks use more than the host has, by their reports.
fn overcommitted(draft: &Draft<'_>, load: &Load<'_>) -> BTreeSet<Arc<str>> {
    let mut used = BTreeMap::<&Arc<str>, Resources>::new();
    for task in load.live() {
        if let Some(seen) = task.report {
            let sum = used.entry(&task.record.host).or_default();
            *sum = sum.plus(seen.usage);
        }
    }
    let over = used.into_iter().filter(|(host, used)| {
        let key = draft.index().host_key(host);
        let capacity = key.and_then(|key| draft.host(key).capacity());
        capacity.is_some_and(|capacity| !used.fits_into(capacity))
    });
    over.map(|(host, _)| Arc::clone(host)).collect()
}
