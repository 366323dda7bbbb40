//! Reliability of executors: detects those that fail or stall tasks.

use std::collections::BTreeSet;
use std::time::Duration;

use super::executor::{RunPhase, RunView, SERVING_PERCENT};
use super::{Leader, Moment};
use crate::job::{RunId, TaskId};
use crate::schedule::{Progress, ReliabilityStatus, assess_progress};
use crate::state::{EndKind, ExecutorKey};

/// Time for which a failed task avoids the executor on which it failed.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// A long-running task that fails sooner than this counts against its executor. One that has run
/// for longer may fail for any reason.
const EARLY_FAILURE: Duration = Duration::from_millis(1_500);

/// Number of jobs that must have slow runs on an executor before it counts as slow.
const MIN_SLOW_JOBS: usize = 2;

/// Time within which a long-running task serves on a healthy executor.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(3);

impl Leader {
    /// Updates the reliability of an executor after the end of a run.
    pub(super) fn record_end(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        run: RunId,
        view: &RunView,
        kind: EndKind,
    ) {
        let Some(executor) = self.executors.get_mut(&key) else {
            return;
        };
        let early = !view.long_running || now.monotonic < view.placed_at + EARLY_FAILURE;
        match kind {
            EndKind::Done => {
                executor.reliability.record_success(now.monotonic);
                self.last_failures.remove(&run.task);
                self.rejected_starts.remove(&run.task);
            }
            EndKind::Failed if early => self.record_task_failure(now, key, run),
            _ => {}
        }
    }

    pub(super) fn record_task_failure(&mut self, now: Moment, key: ExecutorKey, run: RunId) {
        let previous = self.last_failures.insert(run.task, (key, now.monotonic));
        let other = previous.filter(|(other, _)| *other != key);
        if let Some((other, _)) = other
            && let Some(other) = self.executors.get_mut(&other)
        {
            // The task has failed on another executor too, so the job is at fault.
            other.reliability.retract_failure(run.task.job);
            return;
        }
        let Some(executor) = self.executors.get_mut(&key) else {
            return;
        };
        if executor
            .reliability
            .record_failure(now.monotonic, run.task.job)
        {
            let failures = executor.reliability.failure_share();
            log::info!(executor = key.0, failures; "executor suspended, as it fails tasks");
        }
    }

    /// Checks the progress of the runs on an executor; if the executor is slow, suspends it and
    /// stops the runs that would complete earlier elsewhere.
    ///
    /// A single slow run may be the fault of its job. An executor is slow if the runs of several
    /// jobs are slow, and fewer runs are on track.
    pub(super) fn check_progress(&mut self, now: Moment, key: ExecutorKey, clock_ms: u64) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let (mut slow, mut on_track, mut to_move) = (BTreeSet::new(), 0, Vec::new());
        for (run, view) in &view.runs {
            let (RunPhase::Confirmed(_), Some((baseline_ms, baseline_percent))) =
                (view.phase, view.baseline)
            else {
                continue;
            };
            // Measured by the executor's clock: under load, answers are processed with a delay.
            let elapsed = Duration::from_millis(clock_ms.saturating_sub(baseline_ms));
            let done = view.percent.saturating_sub(baseline_percent);
            if view.long_running {
                if view.percent < SERVING_PERCENT && elapsed > MAX_STARTUP_TIME {
                    to_move.push(*run);
                }
                continue;
            }
            match assess_progress(view.estimate, elapsed, done, self.options.stop_time) {
                Progress::OnTrack => on_track += usize::from(elapsed > view.estimate / 2),
                Progress::Slow { quicker_elsewhere } => {
                    slow.insert(run.task.job);
                    if quicker_elsewhere {
                        to_move.push(*run);
                    }
                }
            }
        }
        // On probation, the single task decides.
        let min_slow = if view.reliability.status(now.monotonic) == ReliabilityStatus::Good {
            MIN_SLOW_JOBS
        } else {
            1
        };
        if slow.len() < min_slow || on_track >= slow.len() {
            return;
        }
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.reliability.record_stall(now.monotonic) {
            let (slow, on_track) = (slow.len(), on_track);
            log::info!(
                executor = key.0, slow, good = on_track;
                "executor suspended, as its runs make too little progress"
            );
        }
        for run in to_move {
            if !self.may_stop(now, run) {
                continue;
            }
            log::info!(run:%, executor = key.0; "run moved, as it makes too little progress");
            self.stop(now, key, run);
        }
    }

    /// Returns the executor that a task avoids for now because it has failed there.
    pub(super) fn avoided_executor(&self, now: Moment, task: TaskId) -> Option<ExecutorKey> {
        let (key, failed) = self.last_failures.get(&task)?;
        (now.monotonic < *failed + AVOID_AFTER_FAILURE).then_some(*key)
    }

    /// Returns whether a task starts nowhere for now, as executors have rejected it as malformed.
    pub(super) fn is_rejected(&self, now: Moment, task: TaskId) -> bool {
        let rejected = self.rejected_starts.get(&task);
        rejected.is_some_and(|rejected| rejected.is_delayed(now.monotonic))
    }
}
