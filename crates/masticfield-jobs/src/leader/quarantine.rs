//! Quarantine of executors for tasks that may crash them.
//!
//! After a crash, each task that was starting on the executor is suspected. It is started again on
//! an executor on which no other job starts tasks meanwhile, so that a start that the executor outlives
//! clears it, and one more crash suspects no other job and costs few other runs.

use std::cmp::Reverse;
use std::time::Duration;

use super::placement::Placement;
use super::pool_view::{PoolView, Slot};
use super::{Leader, Moment};
use crate::job::{JobId, TaskId};
use crate::schedule::{PlacementRequest, ReliabilityStatus, fits};
use crate::state::ExecutorKey;

/// Number of usable executors of a pool for each one that may be in quarantine; at least one may.
const EXECUTORS_PER_QUARANTINE: usize = 8;

/// Time after which a quarantine ends in any case, unless a task was started in it since.
const QUARANTINE: Duration = Duration::from_secs(2);

/// An executor on which only the tasks of one job are started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Quarantine {
    pub(super) job: JobId,
    until: Duration,
}

impl Leader {
    /// Places suspected tasks of one step of a job on its executor in quarantine, once no run of
    /// another job is starting there. If the job has none, an executor is put in quarantine.
    pub(super) fn place_suspects(
        &mut self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        pool: &mut PoolView,
    ) -> Vec<Placement> {
        let Some(job) = tasks.first().map(|(task, _)| task.job) else {
            return Vec::new();
        };
        let own = |slot: &&Slot| slot.quarantine == Some(job);
        let key = match pool.slots.iter().find(own) {
            Some(slot) => slot.key,
            None => match self.quarantine(now, tasks, pool) {
                Some(key) => key,
                None => return Vec::new(),
            },
        };
        let view = self.executors.get(&key);
        if !view.is_some_and(|view| view.is_quiet_for(job)) {
            return Vec::new();
        }
        let Some(index) = pool.slots.iter().position(|slot| slot.key == key) else {
            return Vec::new();
        };
        let mut alone = PoolView {
            slots: vec![pool.slots.swap_remove(index)],
            any_reliable: pool.any_reliable,
        };
        let placements = self.place_tasks(now, tasks, &mut alone);
        pool.slots.append(&mut alone.slots);
        if !placements.is_empty() {
            self.extend_quarantine(now, key, job);
        }
        placements
    }

    /// Puts the executor with the fewest runs that fits a task in quarantine for its job.
    fn quarantine(
        &mut self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        pool: &mut PoolView,
    ) -> Option<ExecutorKey> {
        let quarantined = pool.slots.iter().filter(|slot| slot.quarantine.is_some());
        if quarantined.count() >= (pool.slots.len() / EXECUTORS_PER_QUARANTINE).max(1) {
            return None;
        }
        let (first, _, step) = self.step_of(tasks)?;
        let request = PlacementRequest {
            step,
            near_rack: None,
        };
        let avoids = |(task, _): &(TaskId, u32), slot: &Slot| {
            let rejected = self.rejected_starts.get(task);
            rejected.is_some_and(|rejected| rejected.avoids(now.monotonic, slot.key))
        };
        let free = pool.slots.iter().filter(|slot| {
            slot.quarantine.is_none()
                && fits(request, &self.candidate(slot, step, &[]))
                && !tasks.iter().all(|task| avoids(task, slot))
        });
        let runs = |key| self.executors.get(&key).map_or(0, |view| view.runs.len());
        let best = free.min_by_key(|slot| {
            (
                slot.status != ReliabilityStatus::Good,
                slot.upkeep_due,
                runs(slot.key),
                Reverse(slot.free.cpu_milli),
            )
        });
        let key = best?.key;
        let slot = pool.slots.iter_mut().find(|slot| slot.key == key)?;
        slot.quarantine = Some(first.job);
        self.extend_quarantine(now, key, first.job);
        log::info!(job:% = first.job, executor = key.0; "executor in quarantine for a suspected job");
        // The answer shows that earlier runs have outlived their start.
        self.poll_beside(now, key);
        Some(key)
    }

    fn extend_quarantine(&mut self, now: Moment, key: ExecutorKey, job: JobId) {
        if let Some(view) = self.executors.get_mut(&key) {
            let until = now.monotonic + QUARANTINE;
            view.quarantine = Some(Quarantine { job, until });
        }
    }

    /// Ends a quarantine that has lasted too long or whose job has no suspected task any more.
    pub(super) fn check_quarantine(&mut self, now: Moment, key: ExecutorKey) {
        let view = self.executors.get(&key);
        let Some(quarantine) = view.and_then(|view| view.quarantine) else {
            return;
        };
        let over = now.monotonic >= quarantine.until || !self.has_suspects(quarantine.job);
        if over && let Some(view) = self.executors.get_mut(&key) {
            view.quarantine = None;
            self.plan_pool_of(key);
        }
    }
}
