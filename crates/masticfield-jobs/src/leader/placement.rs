//! Placement of a step's tasks on executors.

use super::Leader;
use super::Moment;
use super::pool_view::{PoolView, Slot};
use crate::job::{StepSpec, TaskId};
use crate::schedule::{Candidate, PlacementRequest, ReliabilityStatus, choose};
use crate::state::{ExecutorKey, JobRecord};

/// A task, the number of its latest run, and the executor to start it on.
pub(super) type Placement = (TaskId, u32, ExecutorKey);

impl Leader {
    /// Chooses executors for tasks of one step, as far as there is free capacity, and reserves the
    /// tasks' resources in the view.
    pub(super) fn place_tasks(
        &self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        pool: &mut PoolView,
    ) -> Vec<Placement> {
        let mut placements = Vec::with_capacity(tasks.len());
        let Some((first, job, step)) = self.step_of(tasks) else {
            return placements;
        };
        let occurrence = &job.occurrences[first.occurrence as usize];
        let step_tasks = &occurrence.steps[usize::from(first.step)].tasks;
        let mut siblings: Vec<_> = step_tasks
            .iter()
            .flat_map(|task| &task.runs)
            .map(|(_, executor)| *executor)
            .collect();
        let near = siblings.first().filter(|_| step.same_rack);
        let mut near_rack =
            near.and_then(|key| self.state.executor(*key)?.incarnation.rack.clone());
        for (task, last_run) in tasks {
            let has_failed = job.task(*task).is_some_and(|task| task.failures > 0);
            let avoided_executor = self.avoided_executor(now, *task);
            let rejected = self.rejected_starts.get(task);
            let fitting = pool.slots.iter().filter(|slot| {
                let excluded =
                    has_failed && pool.any_reliable && slot.status != ReliabilityStatus::Good;
                let quarantined = slot.quarantine.is_some_and(|job| job != task.job);
                let claimed = step.long_running && slot.host_unknown;
                let rejects = rejected.is_some_and(|task| task.avoids(now.monotonic, slot.key));
                let avoided = avoided_executor == Some(slot.key) || rejects;
                !avoided && !excluded && !quarantined && !claimed
            });
            let fitting = fitting.map(|slot| self.candidate(slot, step, &siblings));
            let request = PlacementRequest {
                step,
                near_rack: near_rack.as_ref(),
            };
            let Some(key) = choose(request, fitting) else {
                if has_failed || rejected.is_some() {
                    // Tasks that have not failed may still use executors that this one avoids.
                    continue;
                }
                break;
            };
            if step.same_rack && near_rack.is_none() {
                let slot = pool.slots.iter().find(|slot| slot.key == key);
                near_rack = slot.and_then(|slot| slot.rack.clone());
            }
            siblings.push(key);
            pool.reserve(key, step, self.options.defect);
            placements.push((*task, *last_run, key));
        }
        placements
    }

    /// Returns the first of the tasks, with their job and step; all tasks are of one step.
    pub(super) fn step_of(
        &self,
        tasks: &[(TaskId, u32)],
    ) -> Option<(TaskId, &JobRecord, &StepSpec)> {
        let (first, _) = *tasks.first()?;
        let job = self.state.job(first.job)?;
        let step = job.spec.as_ref()?.steps.get(usize::from(first.step))?;
        Some((first, job, step))
    }

    /// Returns an executor as a candidate for a task; `siblings` are the executors of the other
    /// tasks of its step.
    pub(super) fn candidate<'a>(
        &'a self,
        slot: &'a Slot,
        step: &StepSpec,
        siblings: &[ExecutorKey],
    ) -> Candidate<'a> {
        // Looked up only where the choice depends on them.
        let labels = step.label.as_ref().and_then(|_| {
            let record = self.state.executor(slot.key)?;
            Some(record.incarnation.labels.as_slice())
        });
        let spreads = step.long_running || step.best_effort || step.max_per_executor.is_some();
        let present = siblings.iter().filter(|key| spreads && **key == slot.key);
        Candidate {
            key: slot.key,
            free: slot.free,
            labels: labels.unwrap_or_default(),
            rack: slot.rack.as_ref(),
            siblings: u32::try_from(present.count()).unwrap_or(u32::MAX),
            serving: slot.serving,
            best_effort: slot.best_effort,
            upkeep_due: slot.upkeep_due,
        }
    }
}
