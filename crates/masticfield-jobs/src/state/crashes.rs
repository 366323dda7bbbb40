//! Executors that ended without notice, by the tasks that they ran.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ExecutorKey;
use crate::job::{JobId, RunId, TaskId};

/// Number of executors that crashed while they ran a task before it may be given up.
const MAX_CRASHES: u32 = 5;

/// Number of these, in a row, at whose crash the task was suspected.
const MAX_START_CRASHES: u32 = 4;

/// Number of these again that had started the task in quarantine, where no other job started anything.
const MIN_ISOLATED_CRASHES: u32 = 2;

/// Number of executors that crashed while they ran a task before its next start is delayed, wherever
/// in its run they did.
const UNDELAYED_CRASHES: u32 = 4;

/// Delay of the next start after the first crash in quarantine.
const START_CRASH_DELAY_MS: u64 = 10_000;

/// Factor between two such delays.
const START_CRASH_FACTOR: u64 = 6;

/// First delay after [`UNDELAYED_CRASHES`]; it doubles with each further one.
const CRASH_DELAY_MS: u64 = 2_000;

/// Longest delay after crashes later than at the start of a task.
const MAX_CRASH_DELAY_MS: u64 = 60_000;

/// Multiplier of Fibonacci hashing, which spreads consecutive numbers evenly.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Longest delay of a start.
const MAX_START_CRASH_DELAY_MS: u64 = 3_600_000;

/// Limits of [`Command::Crash`](super::Command::Crash), which logs of earlier versions have.
const FORMER_MAX_START_CRASHES: u32 = 2;
const FORMER_MAX_CRASHES: u32 = 5;

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
    /// The executor had lived on.
    Past,
    /// The run had started on an executor in quarantine for its job, which is not known to have lived
    /// on for long.
    Isolated,
    /// A former leader gave the order to start, and no report has listed the run since.
    Unknown,
}

impl RunStart {
    /// Returns whether the run had started, and the executor is not known to have lived on for long.
    pub const fn is_recent(self) -> bool {
        matches!(self, Self::Recent | Self::Isolated)
    }

    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::Recent => "recent",
            Self::Past => "past",
            Self::Isolated => "isolated",
            Self::Unknown => "unknown",
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
    /// Encoded after the rest of the state.
    #[serde(skip)]
    pub(super) latest: BTreeMap<TaskId, LatestCrash>,
}

/// The latest crash of an executor under a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LatestCrash {
    /// Wall-clock time, in milliseconds since the Unix epoch.
    pub(super) at_ms: u64,
    /// Number of crashes in quarantine by then, right after an executor had started the task, since
    /// one last outlived a start.
    isolated: u32,
    /// Whether an executor has ever outlived a start, as far as is known.
    outlived: bool,
    /// Number of the latest run that was counted.
    run: u32,
}

/// Executors that crashed while they ran a task.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
struct TaskCrashes {
    /// All of them.
    total: u32,
    /// Those in a row, since an executor last outlived a start, at whose crash the task was
    /// suspected.
    at_start: u32,
    /// Whether the task is started only where no other job can be at fault for a crash.
    suspected: bool,
}

/// The runs that may have caused a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Suspects {
    /// Whether any run had started recently. Otherwise the executor may have crashed before it
    /// answered, and the unanswered ones are suspected.
    any_recent: bool,
    /// Whether no other job had started a run recently, or may have.
    sole_job: bool,
}

impl Suspects {
    /// Chooses the suspects among the runs of an executor: those that had started recently, or else
    /// the unanswered ones.
    pub(super) fn new(runs: &[CrashedRun]) -> Self {
        let not_past = runs
            .iter()
            .filter(|crashed| crashed.start != RunStart::Past);
        let jobs: BTreeSet<_> = not_past.map(|crashed| crashed.run.task.job).collect();
        Self {
            any_recent: runs.iter().any(|crashed| crashed.start.is_recent()),
            sole_job: jobs.len() == 1,
        }
    }

    const fn includes(self, start: RunStart) -> bool {
        match start {
            RunStart::Recent | RunStart::Isolated => true,
            RunStart::Unanswered => !self.any_recent,
            RunStart::Past | RunStart::Unknown => false,
        }
    }
}

impl TaskCrashes {
    /// Returns the time by which the next start is delayed, in milliseconds, with `further` crashes
    /// right after a start that are not certain.
    ///
    /// A long-running task is started twice in quarantine before its first delay.
    fn delay_ms(self, further: u32, long_running: bool) -> u64 {
        let at_start = self.at_start.saturating_add(further);
        let in_quarantine = at_start.saturating_sub(1 + u32::from(long_running));
        let after_start = in_quarantine.checked_sub(1).map_or(0, |exponent| {
            let factor = START_CRASH_FACTOR.saturating_pow(exponent);
            START_CRASH_DELAY_MS.saturating_mul(factor)
        });
        let repeated = self.total.checked_sub(UNDELAYED_CRASHES + 1);
        let later = repeated.filter(|_| !long_running).map_or(0, |exponent| {
            let factor = 2_u64.saturating_pow(exponent);
            CRASH_DELAY_MS.saturating_mul(factor)
        });
        let after_start = after_start.min(MAX_START_CRASH_DELAY_MS);
        after_start.max(later.min(MAX_CRASH_DELAY_MS))
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
        at_ms: u64,
    ) -> bool {
        if !counts(crashed.start, long_running) {
            return false;
        }
        let latest = self.latest.entry(crashed.run.task).or_default();
        if crashed.run.number == latest.run {
            // The run may have been on a later incarnation as well.
            return false;
        }
        (latest.at_ms, latest.run) = (at_ms, crashed.run.number);
        latest.outlived |= crashed.start == RunStart::Past;
        let isolated = crashed.start == RunStart::Isolated && suspects.sole_job;
        latest.isolated += u32::from(isolated);
        let task = self.tasks.entry(crashed.run.task).or_default();
        // After an earlier crash, a run that may have started is suspected beside recent ones too.
        let may_have_started = matches!(crashed.start, RunStart::Unanswered | RunStart::Unknown);
        let again = may_have_started && task.total > 0 && !latest.outlived;
        let suspected = again || suspects.includes(crashed.start);
        task.total += 1;
        task.at_start += u32::from(suspected);
        task.suspected |= suspected;
        let repeated = task.at_start >= MAX_START_CRASHES && task.total >= MAX_CRASHES;
        let least = if latest.outlived {
            MAX_START_CRASHES - 1
        } else {
            MIN_ISOLATED_CRASHES
        };
        suspected && latest.isolated >= least && repeated && !long_running
    }

    /// Counts a crash as [`Command::Crash`](super::Command::Crash) of earlier versions does; returns
    /// whether the task is to be given up.
    pub(super) fn count_unisolated(
        &mut self,
        crashed: CrashedRun,
        suspects: Suspects,
        long_running: bool,
        _at_ms: u64,
    ) -> bool {
        if !counts(crashed.start, long_running) {
            return false;
        }
        let task = self.tasks.entry(crashed.run.task).or_default();
        let recent = crashed.start.is_recent();
        task.total += 1;
        task.at_start += u32::from(recent);
        task.suspected |= suspects.includes(crashed.start);
        let caused = recent && suspects.sole_job && task.at_start >= FORMER_MAX_START_CRASHES;
        caused || task.total >= FORMER_MAX_CRASHES
    }

    /// Returns the time by which the next start of a task is delayed after its latest crash, in
    /// milliseconds, with `further` crashes right after a start that are not certain.
    ///
    /// Delays are longer by up to half, by job and crash, so that a task does not meet crashes
    /// that recur at a fixed interval again and again.
    pub(super) fn delay_ms(&self, task: TaskId, further: u32, long_running: bool) -> u64 {
        let crashes = self.tasks.get(&task).copied().unwrap_or_default();
        let latest = self.latest.get(&task).copied().unwrap_or_default();
        let at_start = if latest.outlived {
            crashes.at_start.min(1 + latest.isolated)
        } else {
            crashes.at_start
        };
        let delay = TaskCrashes {
            at_start,
            ..crashes
        }
        .delay_ms(further, long_running);
        let number = task.job.number().wrapping_add(u64::from(crashes.total));
        let hash = number.wrapping_mul(HASH_FACTOR) >> 32;
        let varied = delay + ((delay / 2 * hash) >> 32);
        varied.min(MAX_START_CRASH_DELAY_MS)
    }

    /// Returns whether the next start of any task of a job may be delayed.
    pub(super) fn has_tasks_of(&self, job: JobId) -> bool {
        self.tasks_of(job).next().is_some()
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
        crashes.at_start = 0;
        if let Some(latest) = self.latest.get_mut(&task) {
            latest.isolated = 0;
            latest.outlived = true;
        }
        if long_running {
            self.forget_task(task);
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
        self.latest.remove(&task);
    }

    pub(super) fn forget_job(&mut self, job: JobId) {
        let tasks: Vec<_> = self.tasks_of(job).map(|(task, _)| task).collect();
        for task in tasks {
            self.forget_task(task);
        }
    }

    pub(super) fn lapsed(&self, executor: ExecutorKey) -> impl Iterator<Item = RunId> {
        self.lapsed.get(&executor).into_iter().flatten().copied()
    }

    pub(super) fn is_suspected(&self, task: TaskId) -> bool {
        let crashes = self.tasks.get(&task);
        crashes.is_some_and(|crashes| crashes.suspected)
    }

    /// Returns the number of executors that crashed while they ran a task, and of those in a row at
    /// whose crash the task was suspected.
    pub(super) fn of_task(&self, task: TaskId) -> (u32, u32) {
        let crashes = self.tasks.get(&task);
        crashes.map_or((0, 0), |crashes| (crashes.total, crashes.at_start))
    }

    /// Returns whether a run is the latest of its task that was counted.
    pub(super) fn is_latest(&self, run: RunId) -> bool {
        let latest = self.latest.get(&run.task);
        latest.is_some_and(|latest| latest.run == run.number)
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
    !long_running || !matches!(start, RunStart::Past | RunStart::Unknown)
}
