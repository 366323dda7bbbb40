//! Runs whose leases have expired on executors of which it is not known whether they crashed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::job::{JobId, RunId, TaskId};
use crate::state::{CrashedRun, ExecutorKey, RunStart};

/// Runs whose leases have expired on executors that have not answered since.
///
/// Indexed by task as well, as planning looks at every waiting task, and a network partition leaves
/// thousands of such runs.
#[derive(Debug, Clone, Default)]
pub(super) struct LapsedRuns {
    by_executor: BTreeMap<ExecutorKey, Vec<CrashedRun>>,
    /// With the time at which their leases expired.
    by_task: BTreeMap<TaskId, Vec<(ExecutorKey, CrashedRun, Duration)>>,
}

impl LapsedRuns {
    pub(super) fn is_empty(&self) -> bool {
        self.by_executor.is_empty()
    }

    pub(super) fn add(&mut self, now: Duration, executor: ExecutorKey, lapsed: CrashedRun) {
        self.by_executor.entry(executor).or_default().push(lapsed);
        let of_task = self.by_task.entry(lapsed.run.task).or_default();
        of_task.push((executor, lapsed, now));
    }

    /// Removes and returns the runs of an executor.
    pub(super) fn take(&mut self, executor: ExecutorKey) -> Vec<CrashedRun> {
        let runs = self.by_executor.remove(&executor).unwrap_or_default();
        for lapsed in &runs {
            if let Some(of_task) = self.by_task.get_mut(&lapsed.run.task) {
                of_task.retain(|(key, _, _)| *key != executor);
                if of_task.is_empty() {
                    self.by_task.remove(&lapsed.run.task);
                }
            }
        }
        runs
    }

    /// Returns the number of runs of the task, less those that were counted as crashed, whose executors
    /// are not known to have lived on for long after the start, and when the latest of their leases
    /// expired.
    pub(super) fn at_start(
        &self,
        task: TaskId,
        is_counted: impl Fn(RunId) -> bool,
    ) -> (u32, Option<Duration>) {
        let at_start = self.of_task(task).filter(|(_, lapsed, _)| {
            let may_crash = lapsed.start.is_recent() || lapsed.start == RunStart::Unknown;
            may_crash && !is_counted(lapsed.run)
        });
        at_start.fold((0, None), |(count, last), (_, _, at)| {
            (count + 1, last.max(Some(*at)))
        })
    }

    /// Returns whether a run of the task had just started when its executor answered last.
    pub(super) fn is_recent(&self, task: TaskId) -> bool {
        self.of_task(task)
            .any(|(_, lapsed, _)| lapsed.start.is_recent())
    }

    fn of_task(&self, task: TaskId) -> impl Iterator<Item = &(ExecutorKey, CrashedRun, Duration)> {
        self.by_task.get(&task).into_iter().flatten()
    }

    /// Returns whether this holds for any task of a job; see [`is_recent`](Self::is_recent).
    pub(super) fn has_recent(&self, job: JobId) -> bool {
        let first = TaskId::new(job, 0, 0, 0);
        let mut tasks = self.by_task.range(first..);
        let mut of_job = tasks.by_ref().take_while(|(task, _)| task.job == job);
        of_job.any(|(_, runs)| {
            let mut runs = runs.iter();
            runs.any(|(_, lapsed, _)| lapsed.start.is_recent())
        })
    }

    /// Records that an executor has outlived a start of the task.
    pub(super) fn clear(&mut self, task: TaskId) {
        let of_task = self.by_task.get_mut(&task).into_iter().flatten();
        for (executor, lapsed, _) in of_task {
            lapsed.start = RunStart::Past;
            let runs = self.by_executor.get_mut(executor).into_iter().flatten();
            for same in runs.filter(|same| same.run == lapsed.run) {
                same.start = RunStart::Past;
            }
        }
    }
}
