//! Where the tasks of a step go.

use super::{Defect, Leader, Moment};
use crate::job::{Resources, StepSpec, TaskId};
use crate::schedule::{Candidate, PlacementRequest, ReliabilityStatus, choose};
use crate::state::{ExecutorKey, JobRecord};

/// A task, the number of its last run, and where it goes.
pub(super) type Place = (TaskId, u32, ExecutorKey);

impl Leader {
    /// Finds places for tasks of one step, as far as there is room.
    ///
    /// The tasks are alike: the candidates are gathered once, and kept up to date as tasks are
    /// placed. In a surge there are thousands of tasks each second and hundreds of candidates.
    pub(super) fn place_tasks(
        &self,
        now: Moment,
        tasks: &[(TaskId, u32)],
        usable: &[ExecutorKey],
    ) -> Vec<Place> {
        let mut places = Vec::with_capacity(tasks.len());
        let Some((first, job, step)) = self.step_of(tasks) else {
            return places;
        };
        let any_reliable = self.any_reliable(now, usable);
        let mut candidates = self.candidates(now, first, usable, any_reliable);
        let round = &job.occurrences[first.occurrence as usize];
        let tasks_there = &round.steps[usize::from(first.step)].tasks;
        let mut siblings = tasks_there.iter().flat_map(|task| &task.runs);
        let near = step.same_rack.then(|| siblings.next()).flatten();
        let mut near =
            near.and_then(|(_, key)| self.state.executor(*key)?.incarnation.rack.as_ref());
        for (task, last_run) in tasks {
            let has_failed = job.task(*task).is_some_and(|task| task.failures > 0);
            let avoided_executor = self.avoided_executor(now, *task);
            let fitting = candidates.iter().filter(|(candidate, trust)| {
                let spared = has_failed && any_reliable && *trust != ReliabilityStatus::Good;
                avoided_executor != Some(candidate.key) && !spared
            });
            let fitting = fitting.map(|(candidate, _)| *candidate);
            let Some(key) = choose(
                PlacementRequest {
                    step,
                    near_rack: near,
                },
                fitting,
            ) else {
                if has_failed {
                    // Others may go where this one must not.
                    continue;
                }
                break;
            };
            let index = candidates.iter().position(|(other, _)| other.key == key);
            if let Some(index) = index {
                if step.same_rack && near.is_none() {
                    near = candidates[index].0.rack;
                }
                take(&mut candidates, index, step, self.options.defect);
            }
            places.push((*task, *last_run, key));
        }
        places
    }

    /// The job and the step of tasks, which are of one step.
    fn step_of(&self, tasks: &[(TaskId, u32)]) -> Option<(TaskId, &JobRecord, &StepSpec)> {
        let (first, _) = *tasks.first()?;
        let job = self.state.job(first.job)?;
        let step = job.spec.as_ref()?.steps.get(usize::from(first.step))?;
        Some((first, job, step))
    }

    /// The executors that may get tasks of the step of `task`.
    fn candidates(
        &self,
        now: Moment,
        task: TaskId,
        usable: &[ExecutorKey],
        any_reliable: bool,
    ) -> Vec<(Candidate<'_>, ReliabilityStatus)> {
        let job = self.state.job(task.job);
        let round = job.and_then(|job| job.occurrences.get(task.occurrence as usize));
        let step = round.and_then(|round| round.steps.get(usize::from(task.step)));
        let siblings = step.into_iter().flat_map(|step| &step.tasks);
        let siblings: Vec<_> = siblings.flat_map(|task| &task.runs).collect();
        let crowded = self.options.defect == Some(Defect::PlaceWithoutCapacity);
        let candidates = usable.iter().filter_map(|key| {
            let (record, view) = (self.state.executor(*key)?, self.executors.get(key)?);
            if !view.allows_start(now.monotonic, false, any_reliable) {
                return None;
            }
            let used = if crowded {
                Resources::default()
            } else {
                view.used
            };
            let here = siblings.iter().filter(|(_, executor)| executor == key);
            let candidate = Candidate {
                key: *key,
                free: record.incarnation.capacity.saturating_sub(used),
                labels: &record.incarnation.labels,
                rack: record.incarnation.rack.as_ref(),
                siblings: u32::try_from(here.count()).unwrap_or(u32::MAX),
                serving: view.serving,
                best_effort: view.best_effort,
            };
            Some((candidate, view.reliability.status(now.monotonic)))
        });
        candidates.collect()
    }

    /// Whether any of the executors has a good track record.
    pub(super) fn any_reliable(&self, now: Moment, usable: &[ExecutorKey]) -> bool {
        let views = usable.iter().filter_map(|key| self.executors.get(key));
        let mut trust = views.map(|view| view.reliability.status(now.monotonic));
        trust.any(|trust| trust == ReliabilityStatus::Good)
    }
}

/// Notes a task on a candidate; one on trial gets no second.
fn take(
    candidates: &mut Vec<(Candidate<'_>, ReliabilityStatus)>,
    index: usize,
    step: &StepSpec,
    defect: Option<Defect>,
) {
    let (candidate, trust) = &mut candidates[index];
    if defect != Some(Defect::PlaceWithoutCapacity) {
        candidate.free = candidate.free.saturating_sub(step.reserved());
    }
    candidate.siblings += 1;
    candidate.serving += u32::from(step.long_running && !step.best_effort);
    candidate.best_effort += u32::from(step.best_effort);
    if *trust != ReliabilityStatus::Good && !step.long_running {
        candidates.remove(index);
    }
}
