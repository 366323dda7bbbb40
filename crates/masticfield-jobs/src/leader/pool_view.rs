//! The usable executors of a pool while it is planned.

use std::sync::Arc;

use super::{Defect, Leader, Moment};
use crate::job::{JobId, Resources, StepSpec};
use crate::schedule::ReliabilityStatus;
use crate::state::ExecutorKey;

/// The usable executors of a pool, collected once for all jobs that are planned together.
///
/// In a surge hundreds of jobs wait for hundreds of executors. Reservations are recorded here as
/// well, so that the view stays true while tasks are placed.
#[derive(Debug, Clone)]
pub(super) struct PoolView {
    pub(super) slots: Vec<Slot>,
    /// Whether any usable executor is in good standing.
    pub(super) any_reliable: bool,
}

/// An executor that may start tasks.
#[derive(Debug, Clone)]
pub(super) struct Slot {
    pub(super) key: ExecutorKey,
    /// Capacity that no run reserves.
    pub(super) free: Resources,
    pub(super) rack: Option<Arc<str>>,
    /// Number of long-running tasks that are not best-effort.
    pub(super) serving: u32,
    /// Number of best-effort tasks.
    pub(super) best_effort: u32,
    pub(super) status: ReliabilityStatus,
    /// Whether the host is still due for upkeep in a wave that is under way.
    pub(super) upkeep_due: bool,
    /// Whether no long-running task may start on the executor; see
    /// [`ExecutorView::host_unknown_until`](super::executor::ExecutorView::host_unknown_until).
    pub(super) host_unknown: bool,
    /// Job whose tasks alone may start on the executor.
    pub(super) quarantine: Option<JobId>,
}

impl PoolView {
    /// Returns, for each resource, the largest free amount on any one executor.
    pub(super) fn max_free(&self) -> Resources {
        let free = self.slots.iter().map(|slot| slot.free);
        free.fold(Resources::default(), Resources::most)
    }

    /// Returns the cores that no run reserves.
    pub(super) fn free_cores(&self) -> f64 {
        self.slots.iter().map(|slot| slot.free.cores()).sum()
    }

    /// Reserves a task's resources on an executor. One on probation is removed, as it gets no
    /// second task.
    pub(super) fn reserve(&mut self, key: ExecutorKey, step: &StepSpec, defect: Option<Defect>) {
        let Some(index) = self.slots.iter().position(|slot| slot.key == key) else {
            return;
        };
        let slot = &mut self.slots[index];
        if defect != Some(Defect::PlaceWithoutCapacity) {
            slot.free = slot.free.saturating_sub(step.reserved());
        }
        slot.serving += u32::from(step.long_running && !step.best_effort);
        slot.best_effort += u32::from(step.best_effort);
        if slot.status != ReliabilityStatus::Good && !step.long_running {
            self.slots.remove(index);
        }
    }
}

impl Leader {
    /// Returns the usable executors of a pool.
    pub(super) fn usable_executors(&self, now: Moment, pool: &Arc<str>) -> Vec<ExecutorKey> {
        let keys = self.pool_executors.get(pool).into_iter().flatten();
        keys.copied()
            .filter(|key| self.is_usable(now, *key))
            .collect()
    }

    /// Collects what planning needs to know of usable executors.
    pub(super) fn pool_view(&self, now: Moment, usable: &[ExecutorKey]) -> PoolView {
        let views = usable.iter().filter_map(|key| {
            let (record, view) = (self.state.executor(*key)?, self.executors.get(key)?);
            Some((*key, record, view, view.reliability.status(now.monotonic)))
        });
        let views: Vec<_> = views.collect();
        let any_reliable = views
            .iter()
            .any(|(.., status)| *status == ReliabilityStatus::Good);
        let ignore_used = self.options.defect == Some(Defect::PlaceWithoutCapacity);
        let allowed = views
            .into_iter()
            .filter(|(_, _, view, _)| view.allows_start(now.monotonic, false, any_reliable));
        let slots = allowed.map(|(key, record, view, status)| Slot {
            key,
            free: if ignore_used {
                record.incarnation.capacity
            } else {
                record.incarnation.capacity.saturating_sub(view.used)
            },
            rack: record.incarnation.rack.clone(),
            serving: view.serving,
            best_effort: view.best_effort,
            status,
            upkeep_due: self.hosts.upkeep_due.contains(&key),
            host_unknown: now.monotonic < view.host_unknown_until,
            quarantine: view.quarantine.map(|quarantine| quarantine.job),
        });
        PoolView {
            slots: slots.collect(),
            any_reliable,
        }
    }
}
