//! Track records of executors: which ones fail or hold up what they are given.

use std::collections::BTreeSet;
use std::time::Duration;

use super::executor::{RunPhase, RunView, SERVING_PERCENT};
use super::{Leader, Moment};
use crate::job::{RunId, TaskId};
use crate::schedule::{Progress, ReliabilityStatus, assess_progress};
use crate::state::{EndKind, ExecutorKey};

/// Time for which a task that has failed is kept from the executor on which it did.
const AVOID_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// A lasting task that fails sooner than this is counted against its executor; those that have
/// worked for a while may fail at any time.
const EARLY_FAILURE: Duration = Duration::from_millis(1_500);

/// Jobs whose runs must be slow on an executor before it is held to be slow.
const MIN_SLOW_JOBS: usize = 2;

/// Time within which a lasting task is at work where all is well.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(3);

impl Leader {
    /// Draws what the end of a run says of its executor.
    pub(super) fn record_end(
        &mut self,
        now: Moment,
        key: ExecutorKey,
        run: RunId,
        view: &RunView,
        how: EndKind,
    ) {
        let Some(executor) = self.executors.get_mut(&key) else {
            return;
        };
        let at_once = !view.long_running || now.monotonic < view.placed_at + EARLY_FAILURE;
        match how {
            EndKind::Done => {
                executor.reliability.record_success(now.monotonic);
                self.last_failures.remove(&run.task);
            }
            EndKind::Failed if at_once => self.record_task_failure(now, key, run),
            _ => {}
        }
    }

    fn record_task_failure(&mut self, now: Moment, key: ExecutorKey, run: RunId) {
        let before = self.last_failures.insert(run.task, (key, now.monotonic));
        let other = before.filter(|(other, _)| *other != key);
        if let Some((other, _)) = other
            && let Some(other) = self.executors.get_mut(&other)
        {
            // It fails wherever it runs.
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

    /// Looks whether the runs on an executor get on, and starts those elsewhere that do not.
    ///
    /// A run that is slow by itself is its job's fault; an executor is slow if runs of several
    /// jobs are and few others are not.
    pub(super) fn check_progress(&mut self, now: Moment, key: ExecutorKey, clock_ms: u64) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let (mut slow, mut good, mut move_on) = (BTreeSet::new(), 0, Vec::new());
        for (run, view) in &view.runs {
            let (RunPhase::Confirmed(_), Some((began_ms, began_at))) = (view.phase, view.baseline)
            else {
                continue;
            };
            // By the executor's clock: under load its answers wait before they are read.
            let under_way = Duration::from_millis(clock_ms.saturating_sub(began_ms));
            let done = view.percent.saturating_sub(began_at);
            if view.long_running {
                if view.percent < SERVING_PERCENT && under_way > MAX_STARTUP_TIME {
                    move_on.push(*run);
                }
                continue;
            }
            match assess_progress(view.estimate, under_way, done, self.options.stop_time) {
                Progress::OnTrack => good += usize::from(under_way > view.estimate / 2),
                Progress::Slow { quicker_elsewhere } => {
                    slow.insert(run.task.job);
                    if quicker_elsewhere {
                        move_on.push(*run);
                    }
                }
            }
        }
        // On trial the one task decides.
        let enough = if view.reliability.status(now.monotonic) == ReliabilityStatus::Good {
            MIN_SLOW_JOBS
        } else {
            1
        };
        if slow.len() < enough || good >= slow.len() {
            return;
        }
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.reliability.record_stall(now.monotonic) {
            let (slow, good) = (slow.len(), good);
            log::info!(executor = key.0, slow, good; "executor suspended, as work makes no headway");
        }
        for run in move_on {
            log::info!(run:%, executor = key.0; "run moved, as it makes no headway");
            self.stop(now, key, run);
        }
    }

    /// The executor on which a task is not to start now, as it has failed there.
    pub(super) fn avoided_executor(&self, now: Moment, task: TaskId) -> Option<ExecutorKey> {
        let (key, failed) = self.last_failures.get(&task)?;
        (now.monotonic < *failed + AVOID_AFTER_FAILURE).then_some(*key)
    }
}
