//! Executors that ended without notice, by the tasks that they ran.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ExecutorKey;
use crate::job::{JobId, RunId, TaskId};

/// Number of executors that crashed right after they had started a task, after which the task is
/// given up if no other job can have caused the last crash. With one such executor less, the task
/// is suspected.
const MAX_START_CRASHES: u32 = 2;

/// Number of executors that crashed while they ran a task, after which the task is given up
/// whatever else they ran.
const MAX_CRASHES: u32 = 5;

/// A run that an executor may have had when it crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The run.
    pub run: RunId,
    /// What is known of its start.
    pub start: RunStart,
}

/// What is known of the start of a run on an executor that has crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunStart {
    /// The order to start got no answer, so that the run may never have started.
    Unanswered,
    /// The run had started, and the executor is not known to have lived on for long.
    Recent,
    /// The executor had lived on, or the run was started by a former leader.
    Past,
}

impl RunStart {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Recent => "recent",
            Self::Past => "past",
        }
    }
}

/// What is known of tasks whose executors have crashed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Crashes {
    tasks: BTreeMap<TaskId, TaskCrashes>,
    /// Runs whose leases expired on executors that have not been given a run since. If such an
    /// executor has crashed, it has crashed under these runs.
    lapsed: BTreeMap<ExecutorKey, BTreeSet<RunId>>,
}

/// Executors that crashed while they ran a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TaskCrashes {
    /// All of them.
    total: u32,
    /// Those that crashed right after they had started the task, since an executor last outlived
    /// a start.
    starting: u32,
    /// Whether the task is started only where no other job can be at fault for a crash.
    suspected: bool,
}

/// The runs that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Suspects {
    /// What is known of their start; `None` if no run is suspected.
    start: Option<RunStart>,
    /// Whether no other job had started a run recently, or may have.
    sole_job: bool,
}

impl Suspects {
    /// Chooses the suspects among the runs of an executor: those that had started recently. If
    /// there are none, the executor may have crashed before it answered, and the unanswered ones
    /// are suspected.
    pub(super) fn new(runs: &[CrashedRun]) -> Self {
        let has = |start| runs.iter().any(|crashed| crashed.start == start);
        let mut choices = [RunStart::Recent, RunStart::Unanswered].into_iter();
        let not_past = runs
            .iter()
            .filter(|crashed| crashed.start != RunStart::Past);
        let jobs: BTreeSet<_> = not_past.map(|crashed| crashed.run.task.job).collect();
        Self {
            start: choices.find(|start| has(*start)),
            sole_job: jobs.len() == 1,
        }
    }
}

impl Crashes {
    /// Counts a crash; returns whether the task is to be given up.
    ///
    /// `suspects` are the runs that may have caused the crash.
    pub(super) fn count(
        &mut self,
        crashed: CrashedRun,
        suspects: Suspects,
        long_running: bool,
    ) -> bool {
        if !counts(crashed.start, long_running) {
            return false;
        }
        let task = self.tasks.entry(crashed.run.task).or_default();
        task.total += 1;
        let recent = crashed.start == RunStart::Recent;
        task.starting += u32::from(recent);
        task.suspected |= suspects.start == Some(crashed.start);
        let caused = recent && suspects.sole_job && task.starting >= MAX_START_CRASHES;
        caused || task.total >= MAX_CRASHES
    }

    /// Returns whether a task would be given up if executors on which its runs have lapsed have
    /// crashed.
    pub(super) fn reaches_limit<'a>(
        &self,
        task: TaskId,
        lapsed: impl Iterator<Item = &'a CrashedRun>,
        long_running: bool,
    ) -> bool {
        let lapsed = lapsed.filter(|lapsed| counts(lapsed.start, long_running));
        let lapsed = u32::try_from(lapsed.count()).unwrap_or(u32::MAX);
        let total = self.tasks.get(&task).map_or(0, |crashes| crashes.total);
        lapsed > 0 && total.saturating_add(lapsed) >= MAX_CRASHES
    }

    /// Records that an executor has outlived the start of a task; returns whether this changes
    /// anything.
    ///
    /// For a long-running task the count starts over.
    pub(super) fn record_survival(&mut self, task: TaskId, long_running: bool) -> bool {
        let Some(crashes) = self.tasks.get_mut(&task) else {
            return false;
        };
        let changed = std::mem::take(&mut crashes.suspected);
        crashes.starting = 0;
        if long_running {
            self.tasks.remove(&task);
            return true;
        }
        changed
    }

    pub(super) fn record_lapse(&mut self, executor: ExecutorKey, run: RunId) {
        self.lapsed.entry(executor).or_default().insert(run);
    }

    /// Forgets the lapsed runs of an executor that has answered since, or that has ended.
    pub(super) fn forget_executor(&mut self, executor: ExecutorKey) {
        self.lapsed.remove(&executor);
    }

    pub(super) fn forget_task(&mut self, task: TaskId) {
        self.tasks.remove(&task);
    }

    pub(super) fn forget_job(&mut self, job: JobId) {
        let tasks: Vec<_> = self.tasks_of(job).map(|(task, _)| task).collect();
        for task in tasks {
            self.tasks.remove(&task);
        }
    }

    pub(super) fn lapsed(&self, executor: ExecutorKey) -> impl Iterator<Item = RunId> {
        self.lapsed.get(&executor).into_iter().flatten().copied()
    }

    pub(super) fn is_suspected(&self, task: TaskId) -> bool {
        let crashes = self.tasks.get(&task);
        crashes.is_some_and(|crashes| crashes.suspected)
    }

    /// Returns the number of executors that crashed while they ran a task, and of those that crashed
    /// right after they had started it.
    pub(super) fn of_task(&self, task: TaskId) -> (u32, u32) {
        let crashes = self.tasks.get(&task);
        crashes.map_or((0, 0), |crashes| (crashes.total, crashes.starting))
    }

    pub(super) fn has_suspects(&self, job: JobId) -> bool {
        self.tasks_of(job).any(|(_, crashes)| crashes.suspected)
    }

    fn tasks_of(&self, job: JobId) -> impl Iterator<Item = (TaskId, TaskCrashes)> {
        let first = TaskId::new(job, 0, 0, 0);
        let last = TaskId::new(job, u32::MAX, u16::MAX, u32::MAX);
        let tasks = self.tasks.range(first..=last);
        tasks.map(|(task, crashes)| (*task, *crashes))
    }
}

/// Returns whether a crash counts against a task.
///
/// A long-running task is on many executors in its life, some of which crash for other reasons, so
/// that only crashes at its start count.
fn counts(start: RunStart, long_running: bool) -> bool {
    start != RunStart::Past || !long_running
}
