//! A task on the platform.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::TaskPhase;
use masticfield_core::note::Resources;
use masticfield_core::platform::{TaskCommand, TaskOrder, TaskReport};

use super::Timings;

/// Job, number of the task, and attempt.
pub type TaskId = (Arc<str>, u32, u32);

/// What tasks of a job really need, whatever was declared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProfile {
    /// What one task uses.
    pub usage: Resources,
    /// How long one task runs; none for one that does not end.
    pub run_time: Option<Duration>,
    /// Whether every task ends with a failure.
    pub fails: bool,
}

/// A task with its order.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) order: TaskOrder,
    pub(super) phase: TaskPhase,
    pub(super) started: Duration,
    profile: JobProfile,
    fails: bool,
    ends: Option<Duration>,
    usage: Resources,
    measured: Duration,
    pub(super) lease_until: Duration,
    pub(super) changed: u64,
}

impl Task {
    pub(super) fn new(
        now: Duration,
        order: TaskOrder,
        profile: JobProfile,
        worker_fails: bool,
    ) -> Self {
        Self {
            phase: TaskPhase::Starting,
            started: now,
            fails: profile.fails || worker_fails,
            profile,
            ends: None,
            usage: Resources::default(),
            measured: now,
            lease_until: now + order.lease,
            changed: 0,
            order,
        }
    }

    pub(super) fn command(&mut self, now: Duration, command: TaskCommand, timings: Timings) {
        if !self.phase.holds_resources() {
            return;
        }
        match command {
            TaskCommand::Throttle => self.phase = TaskPhase::Throttled,
            TaskCommand::Checkpoint => {
                self.ends.get_or_insert(now + timings.checkpoint);
            }
            TaskCommand::Stop => self.phase = TaskPhase::Stopped,
        }
    }

    /// Lets time pass; returns whether anything changed.
    pub(super) fn advance(&mut self, now: Duration, worker_up: bool, timings: Timings) -> bool {
        let before = (self.phase, self.usage);
        if !self.phase.holds_resources() {
            return false;
        }
        let ran = now.saturating_sub(self.started);
        if !worker_up || now >= self.lease_until {
            self.phase = TaskPhase::Lost;
        } else if self.ends.is_some_and(|end| now >= end) {
            self.phase = TaskPhase::Checkpointed;
        } else if self.phase == TaskPhase::Starting && ran >= timings.start {
            self.phase = TaskPhase::Running;
        } else if self.fails && ran >= timings.start * 3 {
            self.phase = TaskPhase::Failed;
        } else if self.profile.run_time.is_some_and(|time| ran >= time) {
            self.phase = TaskPhase::Finished;
        }
        if now >= self.measured + timings.usage_interval {
            self.measured = now;
            self.usage = self.used();
        }
        before != (self.phase, self.usage)
    }

    /// What it really uses now.
    pub(super) fn used(&self) -> Resources {
        let usage = self.profile.usage;
        match self.phase {
            TaskPhase::Running => usage,
            TaskPhase::Throttled => {
                Resources::new(usage.millicores / 4, usage.memory_mb, usage.accelerators)
            }
            _ => Resources::default(),
        }
    }

    pub(super) fn report(&self, id: &TaskId, now: Duration) -> TaskReport {
        TaskReport {
            job: Arc::clone(&id.0),
            index: id.1,
            attempt: id.2,
            host: Arc::clone(&self.order.host),
            phase: self.phase,
            usage: self.usage,
            running_for: now.saturating_sub(self.started),
        }
    }
}
