//! Eviction of tasks: unwanted ones, those on draining hosts and those on overcommitted hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Reason};
use masticfield_core::note::Resources;

use super::{LiveTask, Load};
use crate::index::OwnershipPhase;
use crate::plan::Draft;
use crate::view::TaskOrderKind;

/// Maximum number of unwanted tasks that one plan stops.
const MAX_CANCELLATIONS: usize = 32;

/// Time that a task has to save a checkpoint and end before it is stopped.
const CHECKPOINT_TIMEOUT: Duration = Duration::from_mins(2);

/// Time for an order to show in the reported usage, which lags behind.
const USAGE_SETTLE_TIME: Duration = Duration::from_secs(30);

/// Stops tasks of jobs that are withdrawn, scaled down or given up, a batch in each plan.
pub fn stop_unwanted(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    let is_unwanted = |task: &&LiveTask<'_>| {
        let surplus = task.spec.is_none_or(|spec| task.index >= spec.tasks);
        (surplus || load.is_stopped(task.job)) && task.record.order < Some(TaskOrderKind::Stop)
    };
    let tasks: Vec<_> = load
        .live()
        .iter()
        .filter(is_unwanted)
        .take(MAX_CANCELLATIONS)
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

/// Checkpoints the tasks of draining hosts so that they can continue on other hosts.
///
/// A task that does not end in time is stopped, so that every drain ends.
pub fn evacuate_draining(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    let now = draft.index().now();
    let must_leave = |task: &&LiveTask<'_>| {
        let host = draft.index().host_key(&task.record.host);
        let host = host.map(|key| draft.host(key));
        let is_draining = host.is_some_and(|host| {
            host.ownership_phase() == OwnershipPhase::Draining && !host.is_failed()
        });
        let ordered_at = task.record.ordered_at.filter(|_| task.is_leaving());
        let is_pending = ordered_at.is_some_and(|ordered_at| now < ordered_at + CHECKPOINT_TIMEOUT);
        is_draining && !is_pending && task.record.order < Some(TaskOrderKind::Stop)
    };
    let tasks: Vec<_> = load.live().iter().filter(must_leave).cloned().collect();
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

/// Escalates by one order on each overcommitted host, for its task of the lowest priority.
///
/// A task is throttled first, then checkpointed, then stopped.
pub fn relieve_overcommitted(draft: &mut Draft<'_>, load: &mut Load<'_>) {
    for host in overcommitted_hosts(draft, load) {
        let mut tasks: Vec<_> = load
            .live()
            .iter()
            .filter(|task| task.record.host == host)
            .cloned()
            .collect();
        tasks.sort_by(|a, b| {
            a.priority()
                .cmp(&b.priority())
                .then(b.record.placed_at.cmp(&a.record.placed_at))
        });
        let now = draft.index().now();
        let is_settling = tasks.iter().any(|task| {
            let ordered_at = task.record.ordered_at;
            ordered_at.is_some_and(|ordered_at| now < ordered_at + USAGE_SETTLE_TIME)
        });
        let next = tasks
            .iter()
            .find(|task| task.record.order < Some(TaskOrderKind::Stop));
        if let Some(task) = next.filter(|_| !is_settling) {
            let kind = match task.record.order {
                None => TaskOrderKind::Throttle,
                Some(TaskOrderKind::Throttle) => TaskOrderKind::Checkpoint,
                Some(_) => TaskOrderKind::Stop,
            };
            order(draft, load, task, kind, Reason::Overcommitted);
        }
    }
}

/// Plans an order to a task, and counts the resources that it is about to free.
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

/// Hosts whose tasks report more usage than the capacity of the host.
fn overcommitted_hosts(draft: &Draft<'_>, load: &Load<'_>) -> BTreeSet<Arc<str>> {
    let mut used = BTreeMap::<&Arc<str>, Resources>::new();
    for task in load.live() {
        if let Some(report) = task.report {
            let sum = used.entry(&task.record.host).or_default();
            *sum = sum.plus(report.usage);
        }
    }
    let over = used.into_iter().filter(|(host, used)| {
        let key = draft.index().host_key(host);
        let capacity = key.and_then(|key| draft.host(key).capacity());
        capacity.is_some_and(|capacity| !used.fits_into(capacity))
    });
    over.map(|(host, _)| Arc::clone(host)).collect()
}
