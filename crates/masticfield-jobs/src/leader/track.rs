//! Track records of executors: which ones fail or hold up what they are given.

use std::collections::BTreeSet;
use std::time::Duration;

use super::executor::{AT_WORK, RunPhase, RunView};
use super::{Leader, Moment};
use crate::job::{RunId, TaskId};
use crate::schedule::{Progress, ReliabilityStatus, assess_progress};
use crate::state::{EndKind, ExecutorKey};

/// Time for which a task that has failed is kept from the executor on which it did.
const ELSEWHERE_FOR: Duration = Duration::from_secs(1);

/// A lasting task that fails sooner than this is counted against its executor; those that have
/// worked for a while may fail at any time.
const FAILS_AT_ONCE: Duration = Duration::from_millis(1_500);

/// Jobs whose runs must be slow on an executor before it is held to be slow.
const SLOW_JOBS: usize = 2;

/// Time within which a lasting task is at work where all is well.
const BEGINS_WITHIN: Duration = Duration::from_secs(3);

impl Leader {
    /// Draws what the end of a run says of its executor.
    pub(super) fn judge(
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
        let at_once = !view.lasting || now.monotonic < view.placed + FAILS_AT_ONCE;
        match how {
            EndKind::Done => {
                executor.track.record_success(now.monotonic);
                self.failed_on.remove(&run.task);
            }
            EndKind::Failed if at_once => self.note_failure(now, key, run),
            _ => {}
        }
    }

    fn note_failure(&mut self, now: Moment, key: ExecutorKey, run: RunId) {
        let before = self.failed_on.insert(run.task, (key, now.monotonic));
        let other = before.filter(|(other, _)| *other != key);
        if let Some((other, _)) = other
            && let Some(other) = self.executors.get_mut(&other)
        {
            // It fails wherever it runs.
            other.track.retract_failure(run.task.job);
            return;
        }
        let Some(executor) = self.executors.get_mut(&key) else {
            return;
        };
        if executor.track.record_failure(now.monotonic, run.task.job) {
            let failures = executor.track.failure_share();
            log::info!(executor = key.0, failures; "executor suspended, as it fails tasks");
        }
    }

    /// Looks whether the runs on an executor get on, and starts those elsewhere that do not.
    ///
    /// A run that is slow by itself is its job's fault; an executor is slow if runs of several
    /// jobs are and few others are not.
    pub(super) fn check_headway(&mut self, now: Moment, key: ExecutorKey, clock_ms: u64) {
        let Some(view) = self.executors.get(&key) else {
            return;
        };
        let (mut slow, mut good, mut move_on) = (BTreeSet::new(), 0, Vec::new());
        for (run, view) in &view.runs {
            let (RunPhase::There(_), Some((began_ms, began_at))) = (view.phase, view.began) else {
                continue;
            };
            // By the executor's clock: under load its answers wait before they are read.
            let under_way = Duration::from_millis(clock_ms.saturating_sub(began_ms));
            let done = view.percent.saturating_sub(began_at);
            if view.lasting {
                if view.percent < AT_WORK && under_way > BEGINS_WITHIN {
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
        let enough = if view.track.status(now.monotonic) == ReliabilityStatus::Good {
            SLOW_JOBS
        } else {
            1
        };
        if slow.len() < enough || good >= slow.len() {
            return;
        }
        let Some(view) = self.executors.get_mut(&key) else {
            return;
        };
        if view.track.record_stall(now.monotonic) {
            let (slow, good) = (slow.len(), good);
            log::info!(executor = key.0, slow, good; "executor suspended, as work makes no headway");
        }
        for run in move_on {
            log::info!(run:%, executor = key.0; "run moved, as it makes no headway");
            self.stop(now, key, run);
        }
    }

    /// The executor on which a task is not to start now, as it has failed there.
    pub(super) fn shunned(&self, now: Moment, task: TaskId) -> Option<ExecutorKey> {
        let (key, failed) = self.failed_on.get(&task)?;
        (now.monotonic < *failed + ELSEWHERE_FOR).then_some(*key)
    }
}
