//! Placement of a step's tasks on executors.

use super::{Defect, Leader, Moment};
use crate::job::{Resources, StepSpec, TaskId};
use crate::schedule::{Candidate, PlacementRequest, ReliabilityStatus, choose};
use crate::state::{ExecutorKey, JobRecord};

/// A task, the number of its latest run, and the executor to start it on.
pub(super) type Placement = (TaskId, u32, ExecutorKey);

impl Leader {
    /// Chooses executors for tasks of one step, as far as there is free capacity.
    ///
    /// The tasks are identical, so the candidates are collected once and updated with each task. In
    /// a surge there are thousands of tasks a second and hundreds of candidates.
    pub(super) fn place_tasks(
        &self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        usable: &[ExecutorKey],
    ) -> Vec<Placement> {
        let mut placements = Vec::with_capacity(tasks.len());
        let Some((first, job, step)) = self.step_of(tasks) else {
            return placements;
        };
        let any_reliable = self.any_reliable(now, usable);
        let mut candidates = self.candidates(now, first, usable, any_reliable);
        let occurrence = &job.occurrences[first.occurrence as usize];
        let step_tasks = &occurrence.steps[usize::from(first.step)].tasks;
        let mut siblings = step_tasks.iter().flat_map(|task| &task.runs);
        let near_rack = step.same_rack.then(|| siblings.next()).flatten();
        let mut near_rack =
            near_rack.and_then(|(_, key)| self.state.executor(*key)?.incarnation.rack.as_ref());
        for (task, last_run) in tasks {
            let has_failed = job.task(*task).is_some_and(|task| task.failures > 0);
            let avoided_executor = self.avoided_executor(now, *task);
            let fitting = candidates.iter().filter(|(candidate, status)| {
                let excluded = has_failed && any_reliable && *status != ReliabilityStatus::Good;
                avoided_executor != Some(candidate.key) && !excluded
            });
            let fitting = fitting.map(|(candidate, _)| *candidate);
            let Some(key) = choose(PlacementRequest { step, near_rack }, fitting) else {
                if has_failed {
                    // Tasks that have not failed may still use executors that this one avoids.
                    continue;
                }
                break;
            };
            let index = candidates.iter().position(|(other, _)| other.key == key);
            if let Some(index) = index {
                if step.same_rack && near_rack.is_none() {
                    near_rack = candidates[index].0.rack;
                }
                reserve(&mut candidates, index, step, self.options.defect);
            }
            placements.push((*task, *last_run, key));
        }
        placements
    }

    /// Returns the first of the tasks, with their job and step; all tasks are of one step.
    fn step_of(&self, tasks: &[(TaskId, u32)]) -> Option<(TaskId, &JobRecord, &StepSpec)> {
        let (first, _) = *tasks.first()?;
        let job = self.state.job(first.job)?;
        let step = job.spec.as_ref()?.steps.get(usize::from(first.step))?;
        Some((first, job, step))
    }

    /// Returns the usable executors that may run tasks of the same step as `task`, with their
    /// reliability.
    fn candidates(
        &self,
        now: Moment,
        task: TaskId,
        usable: &[ExecutorKey],
        any_reliable: bool,
    ) -> Vec<(Candidate<'_>, ReliabilityStatus)> {
        let job = self.state.job(task.job);
        let occurrence = job.and_then(|job| job.occurrences.get(task.occurrence as usize));
        let step = occurrence.and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        let siblings = step.into_iter().flat_map(|step| &step.tasks);
        let siblings: Vec<_> = siblings.flat_map(|task| &task.runs).collect();
        let ignore_used = self.options.defect == Some(Defect::PlaceWithoutCapacity);
        let candidates = usable.iter().filter_map(|key| {
            let (record, view) = (self.state.executor(*key)?, self.executors.get(key)?);
            if !view.allows_start(now.monotonic, false, any_reliable) {
                return None;
            }
            let used = if ignore_used {
                Resources::default()
            } else {
                view.used
            };
            let present = siblings.iter().filter(|(_, executor)| executor == key);
            let candidate = Candidate {
                key: *key,
                free: record.incarnation.capacity.saturating_sub(used),
                labels: &record.incarnation.labels,
                rack: record.incarnation.rack.as_ref(),
                siblings: u32::try_from(present.count()).unwrap_or(u32::MAX),
                serving: view.serving,
                best_effort: view.best_effort,
            };
            Some((candidate, view.reliability.status(now.monotonic)))
        });
        candidates.collect()
    }

    /// Returns whether any of the executors is in good standing.
    pub(super) fn any_reliable(&self, now: Moment, usable: &[ExecutorKey]) -> bool {
        let views = usable.iter().filter_map(|key| self.executors.get(key));
        let mut statuses = views.map(|view| view.reliability.status(now.monotonic));
        statuses.any(|status| status == ReliabilityStatus::Good)
    }
}

/// Reserves a task's resources on a candidate. A candidate on probation is removed, as it gets no
/// second task.
fn reserve(
    candidates: &mut Vec<(Candidate<'_>, ReliabilityStatus)>,
    index: usize,
    step: &StepSpec,
    defect: Option<Defect>,
) {
    let (candidate, status) = &mut candidates[index];
    if defect != Some(Defect::PlaceWithoutCapacity) {
        candidate.free = candidate.free.saturating_sub(step.reserved());
    }
    candidate.siblings += 1;
    candidate.serving += u32::from(step.long_running && !step.best_effort);
    candidate.best_effort += u32::from(step.best_effort);
    if *status != ReliabilityStatus::Good && !step.long_running {
        candidates.remove(index);
    }
}
