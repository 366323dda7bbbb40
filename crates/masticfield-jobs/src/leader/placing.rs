//! Where the tasks of a step go.

use super::{Defect, Leader, Moment};
use crate::job::{Resources, StepSpec, TaskId};
use crate::schedule::{Candidate, Trust, Wish, choose};
use crate::state::{ExecutorKey, JobRecord};

/// A task, the number of its last run, and where it goes.
pub(super) type Place = (TaskId, u32, ExecutorKey);

impl Leader {
    /// Finds places for tasks of one step, as far as there is room.
    ///
    /// The tasks are alike: the candidates are gathered once, and kept up to date as tasks are
    /// placed. In a surge there are thousands of tasks each second and hundreds of candidates.
    pub(super) fn places(
        &self,
        at: Moment,
        tasks: &[(TaskId, u32)],
        usable: &[ExecutorKey],
    ) -> Vec<Place> {
        let mut places = Vec::with_capacity(tasks.len());
        let Some((first, job, step)) = self.step_of(tasks) else {
            return places;
        };
        let any_trusted = self.any_trusted(at, usable);
        let mut candidates = self.candidates(at, first, usable, any_trusted);
        let round = &job.rounds[first.occurrence as usize];
        let tasks_there = &round.steps[usize::from(first.step)].tasks;
        let mut siblings = tasks_there.iter().flat_map(|task| &task.runs);
        let near = step.same_rack.then(|| siblings.next()).flatten();
        let mut near = near.and_then(|(_, key)| self.state.executor(*key)?.life.rack.as_ref());
        for (task, last_run) in tasks {
            let has_failed = job.task(*task).is_some_and(|task| task.failures > 0);
            let shunned = self.shunned(at, *task);
            let fitting = candidates.iter().filter(|(candidate, trust)| {
                let spared = has_failed && any_trusted && *trust != Trust::Full;
                shunned != Some(candidate.key) && !spared
            });
            let fitting = fitting.map(|(candidate, _)| *candidate);
            let Some(key) = choose(Wish { step, near }, fitting) else {
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
        at: Moment,
        task: TaskId,
        usable: &[ExecutorKey],
        any_trusted: bool,
    ) -> Vec<(Candidate<'_>, Trust)> {
        let job = self.state.job(task.job);
        let round = job.and_then(|job| job.rounds.get(task.occurrence as usize));
        let step = round.and_then(|round| round.steps.get(usize::from(task.step)));
        let siblings = step.into_iter().flat_map(|step| &step.tasks);
        let siblings: Vec<_> = siblings.flat_map(|task| &task.runs).collect();
        let crowded = self.options.defect == Some(Defect::PlaceWithoutRoom);
        let candidates = usable.iter().filter_map(|key| {
            let (record, view) = (self.state.executor(*key)?, self.executors.get(key)?);
            if !view.is_trusted(at.now, false, any_trusted) {
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
                free: record.life.capacity.minus(used),
                labels: &record.life.labels,
                rack: record.life.rack.as_ref(),
                siblings: u32::try_from(here.count()).unwrap_or(u32::MAX),
                serving: view.serving,
                fillers: view.fillers,
            };
            Some((candidate, view.track.trust(at.now)))
        });
        candidates.collect()
    }

    /// Whether any of the executors has a good track record.
    pub(super) fn any_trusted(&self, at: Moment, usable: &[ExecutorKey]) -> bool {
        let views = usable.iter().filter_map(|key| self.executors.get(key));
        let mut trust = views.map(|view| view.track.trust(at.now));
        trust.any(|trust| trust == Trust::Full)
    }
}

/// Notes a task on a candidate; one on trial gets no second.
fn take(
    candidates: &mut Vec<(Candidate<'_>, Trust)>,
    index: usize,
    step: &StepSpec,
    defect: Option<Defect>,
) {
    let (candidate, trust) = &mut candidates[index];
    if defect != Some(Defect::PlaceWithoutRoom) {
        candidate.free = candidate.free.minus(step.reserved());
    }
    candidate.siblings += 1;
    candidate.serving += u32::from(step.lasting && !step.filler);
    candidate.fillers += u32::from(step.filler);
    if *trust != Trust::Full && !step.lasting {
        candidates.remove(index);
    }
}
