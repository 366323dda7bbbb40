//! What callers were told, and what must hold.

use std::collections::{BTreeMap, BTreeSet};

use masticfield_jobs::job::{JobId, JobSpec, RunId, TaskId};

/// Time after which nothing of a cancelled job may start, in milliseconds.
pub(crate) const CANCEL_MS: u64 = 3_000;

/// A job that a caller sent.
#[derive(Debug, Clone)]
pub(crate) struct Sent {
    pub(crate) spec: JobSpec,
    pub(crate) at: u64,
    pub(crate) objective: u64,
    pub(crate) accepted: bool,
    pub(crate) refused: bool,
    pub(crate) cancelled: Option<u64>,
    pub(crate) ended: Option<u64>,
    pub(crate) completed: bool,
}

/// What callers were told, and what ran.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) sent: BTreeMap<JobId, Sent>,
    /// Where each task runs now.
    pub(crate) running: BTreeMap<TaskId, BTreeSet<(usize, u32)>>,
    /// Tasks that are done.
    pub(crate) done: BTreeSet<TaskId>,
    pub(crate) broken: Vec<String>,
    pub(crate) over_room: u32,
    pub(crate) run_twice: u32,
}

impl Ledger {
    /// Notes a start; `late` if the order was carried out long after it was given, with what the
    /// leader has noted of the task: whether it is done, and how often it has failed.
    pub(crate) fn start(
        &mut self,
        now: u64,
        executor: usize,
        run: RunId,
        late: bool,
        (done, failures): (bool, u32),
    ) {
        let task = run.task;
        let Some(sent) = self.sent.get(&task.job) else {
            return self
                .broken
                .push(format!("{now}: {run} was asked for by nobody"));
        };
        let Some(step) = sent.spec.steps.get(usize::from(task.step)) else {
            return self.broken.push(format!("{now}: {run} is of no step"));
        };
        let (copies, lasting) = (step.copies, step.lasting);
        let waits = step.depends_on.iter().any(|needed| {
            let count = sent.spec.steps[usize::from(*needed)].count;
            let tasks =
                (0..count).map(|index| TaskId::new(task.job, task.occurrence, *needed, index));
            tasks.into_iter().any(|task| !self.done.contains(&task))
        });
        if waits {
            self.broken
                .push(format!("{now}: {run} started before what it depends on"));
        }
        if sent.cancelled.is_some_and(|at| now > at + CANCEL_MS) && !late {
            self.broken
                .push(format!("{now}: {run} started after its job was cancelled"));
        }
        if failures >= 3 && !lasting && !late {
            self.broken
                .push(format!("{now}: {run} started after too many failures"));
        }
        let running = self.running.entry(task).or_default();
        if !copies && !late && (!running.is_empty() || done) {
            self.run_twice += 1;
            self.broken.push(format!(
                "{now}: {run} runs twice, on {executor} and {running:?}"
            ));
        }
        running.insert((executor, run.number));
    }

    /// Notes that a run is over.
    pub(crate) fn over(&mut self, executor: usize, run: RunId) {
        if let Some(running) = self.running.get_mut(&run.task) {
            running.remove(&(executor, run.number));
        }
    }
}
