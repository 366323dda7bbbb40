//! What is known of a job from outside.

use std::sync::Arc;

use masticfield_jobs::job::JobSpec;
use masticfield_jobs::state::JobStatus;

/// What callers know of a job, and whether it has started.
#[derive(Debug, Clone)]
pub(super) struct JobView {
    pub(super) spec: Arc<JobSpec>,
    pub(super) queue: Arc<str>,
    pub(super) pool: Arc<str>,
    /// Attempts to hand the job in that have no answer yet.
    pub(super) open_attempts: u32,
    /// Whether the outcome of an attempt is unknown.
    pub(super) unknown: bool,
    pub(super) accepted_at: Option<u64>,
    pub(super) cancel_sent: bool,
    pub(super) cancelled_at: Option<u64>,
    pub(super) started: bool,
    pub(super) status: Option<JobStatus>,
}

impl JobView {
    pub(super) const fn new(spec: Arc<JobSpec>, queue: Arc<str>, pool: Arc<str>) -> Self {
        Self {
            spec,
            queue,
            pool,
            open_attempts: 0,
            unknown: false,
            accepted_at: None,
            cancel_sent: false,
            cancelled_at: None,
            started: false,
            status: None,
        }
    }

    /// Whether every attempt to hand the job in was refused.
    pub(super) const fn is_refused(&self) -> bool {
        self.open_attempts == 0 && !self.unknown && self.accepted_at.is_none()
    }

    /// Whether the job must be completed by the programs.
    pub(super) const fn is_owed(&self) -> bool {
        self.accepted_at.is_some() && !self.cancel_sent
    }

    /// Whether callers have seen the end of the job.
    pub(super) const fn has_ended(&self) -> bool {
        matches!(
            self.status,
            Some(JobStatus::Completed | JobStatus::Failed | JobStatus::Cancelled)
        )
    }
}
