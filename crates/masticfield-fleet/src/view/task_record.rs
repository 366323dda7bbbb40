//! Durable records of jobs and their tasks.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Planned, TaskObservation};
use masticfield_core::note::Resources;
use serde::{Deserialize, Serialize};

/// Identifies a task by the name of its job and its index within the job.
pub type TaskKey = (Arc<str>, u32);

/// Durable state of the latest attempt at a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Number of the attempt; the first is 1.
    pub attempt: u32,
    /// Host on which the attempt was placed.
    pub host: Arc<str>,
    /// Resources reserved for the attempt.
    pub size: Resources,
    /// When the attempt was placed, since the Unix epoch.
    pub placed_at: Duration,
    /// The strongest order given to slow down or end the attempt, if any.
    pub order: Option<TaskOrderKind>,
    /// When that order was given, since the Unix epoch; `None` without an order or if unknown.
    pub ordered_at: Option<Duration>,
}

/// An order to a running task, from the mildest to the strongest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum TaskOrderKind {
    /// Run at a reduced rate.
    Throttle,
    /// Save a checkpoint and end.
    Checkpoint,
    /// End without a checkpoint.
    Stop,
}

/// Durable state of a job that was ever placed or stopped.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The latest attempt at each task, by task index.
    pub tasks: BTreeMap<u32, TaskRecord>,
    /// Whether the planner has given up on the job: it fails everywhere or fits no host.
    pub stopped: bool,
}

/// Job records by job name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct JobRecords {
    records: BTreeMap<Arc<str>, JobRecord>,
}

impl JobRecords {
    /// The record of a job; `None` if it was neither placed nor stopped.
    pub fn get(&self, job: &str) -> Option<&JobRecord> {
        self.records.get(job)
    }

    /// Iterates over the records in the order of job names.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &JobRecord)> {
        self.records.iter()
    }

    /// Inserts or replaces the record of a job.
    pub fn insert(&mut self, job: impl Into<Arc<str>>, record: JobRecord) {
        self.records.insert(job.into(), record);
    }

    /// Whether an observed attempt is the latest recorded attempt at its task.
    pub fn is_latest(&self, task: &TaskObservation) -> bool {
        let record = self
            .get(&task.job)
            .and_then(|job| job.tasks.get(&task.index));
        record.is_some_and(|record| record.attempt == task.attempt)
    }

    /// Applies an action committed at `now` and returns whether a record changed.
    ///
    /// An action of a stale attempt, or an order no stronger than the last one, is ignored.
    pub fn apply(&mut self, planned: &Planned, now: Duration) -> bool {
        match &planned.action {
            Action::StartTask { .. } => self.start(&planned.action, now),
            Action::ThrottleTask {
                job,
                index,
                attempt,
            } => self.order((job, *index, *attempt), TaskOrderKind::Throttle, now),
            Action::CheckpointTask {
                job,
                index,
                attempt,
            } => self.order((job, *index, *attempt), TaskOrderKind::Checkpoint, now),
            Action::StopTask {
                job,
                index,
                attempt,
            } => self.order((job, *index, *attempt), TaskOrderKind::Stop, now),
            Action::StopJob { job } => {
                let record = self.records.entry(Arc::clone(job)).or_default();
                !std::mem::replace(&mut record.stopped, true)
            }
            _ => false,
        }
    }

    fn start(&mut self, action: &Action, now: Duration) -> bool {
        let Action::StartTask {
            job,
            index,
            attempt,
            host,
            size,
            ..
        } = action
        else {
            return false;
        };
        let record = self.records.entry(Arc::clone(job)).or_default();
        let latest = record.tasks.get(index).map_or(0, |task| task.attempt);
        if *attempt != latest + 1 {
            return false;
        }
        let task = TaskRecord {
            attempt: *attempt,
            host: Arc::clone(host),
            size: *size,
            placed_at: now,
            order: None,
            ordered_at: None,
        };
        record.tasks.insert(*index, task);
        true
    }

    fn order(&mut self, task: (&Arc<str>, u32, u32), kind: TaskOrderKind, now: Duration) -> bool {
        let (job, index, attempt) = task;
        let record = self.records.get_mut(job);
        let Some(task) = record.and_then(|record| record.tasks.get_mut(&index)) else {
            return false;
        };
        if task.attempt != attempt || task.order >= Some(kind) {
            return false;
        }
        task.order = Some(kind);
        task.ordered_at = Some(now);
        true
    }
}
