//! What callers were told, and what must hold.

use std::collections::{BTreeMap, BTreeSet};

use masticfield_jobs::job::{JobId, JobSpec, RunId, TaskId};

/// Time after which nothing of a cancelled job may start, in milliseconds.
pub(crate) const CANCEL_MS: u64 = 3_000;

/// Time after which a task that is not at work counts as away, in milliseconds.
const NOTICE_MS: u64 = 4_500;

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
    /// Since when a lasting task has not run, and whether an order about its host ended it.
    away: BTreeMap<TaskId, (u64, bool)>,
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
        let (copies, lasting) = (step.copies, step.long_running);
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
        if failures >= 3 && !lasting {
            self.broken
                .push(format!("{now}: {run} started after too many failures"));
        }
        let running = self.running.entry(task).or_default();
        if !copies && (!running.is_empty() || done) {
            self.run_twice += 1;
            self.broken.push(format!(
                "{now}: {run} runs twice, on {executor} and {running:?}"
            ));
        }
        running.insert((executor, run.number));
        self.away.remove(&task);
    }

    /// Notes that a run is over.
    pub(crate) fn over(&mut self, now: u64, executor: usize, run: RunId) {
        if let Some(running) = self.running.get_mut(&run.task)
            && running.remove(&(executor, run.number))
            && running.is_empty()
        {
            self.away.entry(run.task).or_insert((now, false));
        }
    }

    /// Notes that an order is about to end a run; few enough others of its step may be away.
    pub(crate) fn ends_by_order(&mut self, now: u64, run: RunId) {
        let task = run.task;
        let sent = self.sent.get(&task.job);
        let step = sent.and_then(|sent| sent.spec.steps.get(usize::from(task.step)));
        let Some(step) = step.filter(|step| step.long_running) else {
            return;
        };
        let (count, may_miss) = (step.count, step.may_miss);
        let others = (0..count).filter(|index| *index != task.index);
        let away = others.filter(|index| {
            let away = self.away.get(&TaskId {
                index: *index,
                ..task
            });
            away.is_some_and(|(since, ordered)| *ordered || now >= since + NOTICE_MS)
        });
        let away = u32::try_from(away.count()).unwrap_or(u32::MAX);
        if away >= may_miss {
            let text = format!("{now}: {run} is ended while {away} others of its step are away");
            self.broken.push(text);
        }
        self.away.insert(task, (now, true));
    }
}
