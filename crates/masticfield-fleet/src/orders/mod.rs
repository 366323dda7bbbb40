//! Orders to the platform that follow from the durable records.
//!
//! The records say how the fleet is to be; the observation says how it is. The difference is
//! ordered again until it is gone, so a new leader goes on without knowing what the last one
//! sent.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::{orders, sample};
//!
//! assert!(orders::pending_orders(&sample::small().view()).is_empty());
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{HostHealth, HostObservation, Ownership, TaskObservation, TaskPhase};
use masticfield_core::platform::{
    HostCommand, HostOrder, LeaseRenewal, PlatformOrder, TaskCommand, TaskOrder,
};

use crate::view::{FleetView, HostRecord, TaskOrderKind, TaskRecord};

/// How long hosts and tasks go on without a renewal of their leases.
pub const LEASE_DURATION: Duration = Duration::from_secs(45);

/// The orders that bring the platform to what the records say.
///
/// Renewals come first, so that a host has a lease before its tasks start.
pub fn pending_orders(view: &FleetView<'_>) -> Vec<PlatformOrder> {
    let seen: BTreeMap<&str, _> = view
        .observation
        .hosts
        .iter()
        .map(|seen| (&*seen.host, seen))
        .collect();
    let mut orders = Vec::new();
    let mut leased = Vec::new();
    for (host, record) in view.hosts.iter() {
        let Some(seen) = seen.get(&**host) else {
            continue;
        };
        if holds_lease(record, seen) {
            leased.push((Arc::clone(host), record.ownership.generation()));
        }
        orders.extend(host_order(record, seen));
    }
    if !leased.is_empty() {
        let renewal = LeaseRenewal {
            hosts: leased,
            lease: LEASE_DURATION,
        };
        orders.insert(0, PlatformOrder::Renew(renewal));
    }
    orders.extend(task_orders(view));
    orders
}

/// Whether the leases of a host are renewed.
fn holds_lease(record: &HostRecord, seen: &HostObservation) -> bool {
    let drained = seen.drained >= Some(record.ownership.generation());
    let works = !matches!(seen.health, HostHealth::Failed | HostHealth::Rebooting);
    match record.ownership {
        Ownership::Owned { .. } => works,
        Ownership::Draining { .. } => works && !drained && record.reboot.is_none(),
        Ownership::Released { .. } => false,
    }
}

fn host_order(record: &HostRecord, seen: &HostObservation) -> Option<PlatformOrder> {
    let generation = record.ownership.generation();
    let drained = seen.drained >= Some(generation);
    let (command, completed) = match (&record.ownership, record.reboot) {
        (Ownership::Draining { .. }, Some(order)) if seen.reboots <= order.completed => {
            (HostCommand::Reboot, Some(order.completed))
        }
        (Ownership::Draining { .. }, None) if !drained => (HostCommand::Drain, None),
        (Ownership::Owned { .. }, _) if seen.drained.is_some() => (HostCommand::Resume, None),
        _ => return None,
    };
    Some(PlatformOrder::Host {
        host: Arc::clone(&seen.host),
        command,
        order: HostOrder {
            generation,
            completed,
        },
    })
}

fn task_orders(view: &FleetView<'_>) -> Vec<PlatformOrder> {
    let latest = view
        .observation
        .tasks
        .iter()
        .filter(|task| view.jobs.is_latest(task));
    let seen: BTreeMap<_, _> = latest
        .map(|task| ((&*task.job, task.index), task))
        .collect();
    let mut orders = Vec::new();
    for (job, record) in view.jobs.iter() {
        for (index, task) in &record.tasks {
            let seen = seen.get(&(&**job, *index)).copied();
            orders.extend(task_order(view, (job, *index), task, seen));
        }
    }
    orders
}

fn task_order(
    view: &FleetView<'_>,
    (job, index): (&Arc<str>, u32),
    task: &TaskRecord,
    seen: Option<&TaskObservation>,
) -> Option<PlatformOrder> {
    let (job, attempt) = (Arc::clone(job), task.attempt);
    let Some(seen) = seen else {
        let generation = view.hosts.get(&task.host)?.ownership.generation();
        let order = TaskOrder {
            host: Arc::clone(&task.host),
            generation,
            size: task.size,
            lease: LEASE_DURATION,
        };
        let starts = task.order.is_none();
        return starts.then_some(PlatformOrder::Start {
            job,
            index,
            attempt,
            order,
        });
    };
    let command = match task.order? {
        TaskOrderKind::Throttle => TaskCommand::Throttle,
        TaskOrderKind::Checkpoint => TaskCommand::Checkpoint,
        TaskOrderKind::Stop => TaskCommand::Stop,
    };
    let throttled = seen.phase == TaskPhase::Throttled;
    let done = command == TaskCommand::Throttle && throttled;
    (seen.phase.holds_resources() && !done).then_some(PlatformOrder::Task {
        job,
        index,
        attempt,
        command,
    })
}
