//! Order of starts and completed runs of each task.

use std::collections::BTreeMap;

use masticfield_jobs::job::{RunId, TaskId};

/// Starts and completed runs of each task in the order in which executors carried them out, and
/// which of the completed ones were acknowledged.
#[derive(Debug, Default)]
pub(crate) struct NotedEnds {
    /// Number of the latest start or end of any run.
    last: u64,
    /// Latest start of each task.
    starts: BTreeMap<TaskId, (u64, RunId)>,
    /// Completed runs by executor, until they are acknowledged.
    done: BTreeMap<(usize, RunId), u64>,
    /// First completed run of each task among those that were acknowledged.
    noted: BTreeMap<TaskId, u64>,
}

impl NotedEnds {
    /// Records a start; returns whether a run of the task was done before and is acknowledged.
    pub(crate) fn record_start(&mut self, run: RunId) -> bool {
        self.last += 1;
        self.starts.insert(run.task, (self.last, run));
        self.noted.contains_key(&run.task)
    }

    /// Records that a run has completed.
    pub(crate) fn record_done(&mut self, executor: usize, run: RunId) {
        self.last += 1;
        self.done.insert((executor, run), self.last);
    }

    /// Records that a completed run was acknowledged; returns the latest run of the task that was
    /// started since it completed.
    pub(crate) fn record_noted(&mut self, executor: usize, run: RunId) -> Option<RunId> {
        let ended = self.done.remove(&(executor, run))?;
        let first = self.noted.entry(run.task).or_insert(ended);
        *first = ended.min(*first);
        let (started, later) = *self.starts.get(&run.task)?;
        (started > ended).then_some(later)
    }
}
