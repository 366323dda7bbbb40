//! Orders that reconcile the platform with the durable records.
//!
//! The records hold the desired state of the fleet, the observation its actual state. Orders for
//! each difference are repeated until the difference is gone, so a new leader can continue
//! without knowing which orders its predecessor sent.
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

/// Time for which hosts and tasks keep running without a renewal of their leases.
pub const LEASE_DURATION: Duration = Duration::from_secs(45);

/// Orders that bring the platform closer to the desired state.
///
/// The lease renewal comes first, so that a host holds a lease before its tasks start.
pub fn pending_orders(view: &FleetView<'_>) -> Vec<PlatformOrder> {
    let reports: BTreeMap<&str, _> = view
        .observation
        .hosts
        .iter()
        .map(|report| (&*report.host, report))
        .collect();
    let mut orders = Vec::new();
    let mut leased = Vec::new();
    for (host, record) in view.hosts.iter() {
        let Some(report) = reports.get(&**host) else {
            continue;
        };
        if is_lease_renewed(record, report) {
            leased.push((Arc::clone(host), record.ownership.generation()));
        }
        orders.extend(host_order(record, report));
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

/// Whether the leases of a host are still renewed.
fn is_lease_renewed(record: &HostRecord, report: &HostObservation) -> bool {
    let drained = report.drained >= Some(record.ownership.generation());
    let is_up = !matches!(report.health, HostHealth::Failed | HostHealth::Rebooting);
    match record.ownership {
        Ownership::Owned { .. } => is_up,
        Ownership::Draining { .. } => is_up && !drained && record.reboot.is_none(),
        Ownership::Released { .. } => false,
    }
}

/// The order that a host needs next, if its report differs from its record.
fn host_order(record: &HostRecord, report: &HostObservation) -> Option<PlatformOrder> {
    let generation = record.ownership.generation();
    let drained = report.drained >= Some(generation);
    let (command, completed) = match (&record.ownership, record.reboot) {
        (Ownership::Draining { .. }, Some(order)) if report.reboots <= order.completed => {
            (HostCommand::Reboot, Some(order.completed))
        }
        (Ownership::Draining { .. }, None) if !drained => (HostCommand::Drain, None),
        (Ownership::Owned { .. }, _) if report.drained.is_some() => (HostCommand::Resume, None),
        _ => return None,
    };
    Some(PlatformOrder::Host {
        host: Arc::clone(&report.host),
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
    let reports: BTreeMap<_, _> = latest
        .map(|task| ((&*task.job, task.index), task))
        .collect();
    let mut orders = Vec::new();
    for (job, record) in view.jobs.iter() {
        for (index, task) in &record.tasks {
            let report = reports.get(&(&**job, *index)).copied();
            orders.extend(task_order(view, (job, *index), task, report));
        }
    }
    orders
}

/// The order that a task needs next: its start, or what was ordered and is not done yet.
fn task_order(
    view: &FleetView<'_>,
    (job, index): (&Arc<str>, u32),
    task: &TaskRecord,
    report: Option<&TaskObservation>,
) -> Option<PlatformOrder> {
    let (job, attempt) = (Arc::clone(job), task.attempt);
    let Some(report) = report else {
        let generation = view.hosts.get(&task.host)?.ownership.generation();
        let order = TaskOrder {
            host: Arc::clone(&task.host),
            generation,
            size: task.size,
            lease: LEASE_DURATION,
        };
        // An attempt that was ordered to end must not be started again.
        let must_start = task.order.is_none();
        return must_start.then_some(PlatformOrder::Start {
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
    let throttled = report.phase == TaskPhase::Throttled;
    let done = command == TaskCommand::Throttle && throttled;
    (report.phase.holds_resources() && !done).then_some(PlatformOrder::Task {
        job,
        index,
        attempt,
        command,
    })
}
