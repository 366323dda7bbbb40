//! Track records of executors: which ones fail or hold up what they are given.

use std::time::Duration;

use super::executor::RunView;
use super::{Leader, Moment};
use crate::job::{RunId, TaskId};
use crate::state::{EndKind, ExecutorKey};

/// Time for which a task that has failed is kept from the executor on which it did.
const ELSEWHERE_FOR: Duration = Duration::from_secs(1);

/// A lasting task that fails sooner than this is counted against its executor; those that have
/// worked for a while may fail at any time.
const FAILS_AT_ONCE: Duration = Duration::from_millis(1_500);

impl Leader {
    /// Draws what the end of a run says of its executor.
    pub(super) fn judge(
        &mut self,
        at: Moment,
        key: ExecutorKey,
        run: RunId,
        view: &RunView,
        how: EndKind,
    ) {
        let Some(executor) = self.executors.get_mut(&key) else {
            return;
        };
        let at_once = !view.lasting || at.now < view.placed + FAILS_AT_ONCE;
        match how {
            EndKind::Done => {
                executor.track.done(at.now);
                self.failed_on.remove(&run.task);
            }
            EndKind::Failed if at_once => self.note_failure(at, key, run),
            _ => {}
        }
    }

    fn note_failure(&mut self, at: Moment, key: ExecutorKey, run: RunId) {
        let before = self.failed_on.insert(run.task, (key, at.now));
        let other = before.filter(|(other, _)| *other != key);
        if let Some((other, _)) = other
            && let Some(other) = self.executors.get_mut(&other)
        {
            // It fails wherever it runs.
            other.track.pardon(run.task.job);
            return;
        }
        let Some(executor) = self.executors.get_mut(&key) else {
            return;
        };
        if executor.track.failed(at.now, run.task.job) {
            let failures = executor.track.failures();
            log::info!(executor = key.0, failures; "executor suspended, as it fails tasks");
        }
    }

    /// The executor on which a task is not to start now, as it has failed there.
    pub(super) fn shunned(&self, at: Moment, task: TaskId) -> Option<ExecutorKey> {
        let (key, failed) = self.failed_on.get(&task)?;
        (at.now < *failed + ELSEWHERE_FOR).then_some(*key)
    }
}
