//! Tasks of the fake platform.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::TaskPhase;
use masticfield_core::note::Resources;
use masticfield_core::platform::{TaskCommand, TaskOrder, TaskReport};

use super::Timings;

/// Name of the job, index of the task within it, and number of the attempt.
pub type TaskId = (Arc<str>, u32, u32);

/// Actual behaviour of the tasks of a job, whatever resources the job declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobProfile {
    /// Resources that one task uses.
    pub usage: Resources,
    /// Time after which a task finishes; `None` for a task that runs until it is stopped.
    pub run_time: Option<Duration>,
    /// Whether every task fails shortly after its start.
    pub fails: bool,
}

/// One attempt at a task.
#[derive(Debug, Clone)]
pub(super) struct Task {
    pub(super) order: TaskOrder,
    pub(super) phase: TaskPhase,
    pub(super) started_at: Duration,
    profile: JobProfile,
    fails: bool,
    checkpoint_done_at: Option<Duration>,
    reported_usage: Resources,
    usage_updated_at: Duration,
    pub(super) lease_until: Duration,
    /// Cursor of the last change, which decides which reports include the task.
    pub(super) changed_at: u64,
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
            started_at: now,
            fails: profile.fails || worker_fails,
            profile,
            checkpoint_done_at: None,
            reported_usage: Resources::default(),
            usage_updated_at: now,
            lease_until: now + order.lease,
            changed_at: 0,
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
                self.checkpoint_done_at
                    .get_or_insert(now + timings.checkpoint);
            }
            TaskCommand::Stop => self.phase = TaskPhase::Stopped,
        }
    }

    /// Advances the task to `now`; returns whether its phase or reported usage changed.
    pub(super) fn advance(&mut self, now: Duration, worker_up: bool, timings: Timings) -> bool {
        let before = (self.phase, self.reported_usage);
        if !self.phase.holds_resources() {
            return false;
        }
        let elapsed = now.saturating_sub(self.started_at);
        if !worker_up || now >= self.lease_until {
            self.phase = TaskPhase::Lost;
        } else if self.checkpoint_done_at.is_some_and(|end| now >= end) {
            self.phase = TaskPhase::Checkpointed;
        } else if self.phase == TaskPhase::Starting && elapsed >= timings.start {
            self.phase = TaskPhase::Running;
        } else if self.fails && elapsed >= timings.start * 3 {
            self.phase = TaskPhase::Failed;
        } else if self.profile.run_time.is_some_and(|time| elapsed >= time) {
            self.phase = TaskPhase::Finished;
        }
        if now >= self.usage_updated_at + timings.usage_interval {
            self.usage_updated_at = now;
            self.reported_usage = self.actual_usage();
        }
        before != (self.phase, self.reported_usage)
    }

    /// Resources that the task uses now; the reported usage lags behind.
    pub(super) fn actual_usage(&self) -> Resources {
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
            usage: self.reported_usage,
            running_for: now.saturating_sub(self.started_at),
        }
    }
}
