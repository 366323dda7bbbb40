//! Simulated executor.

use std::time::Duration;

use masticfield_core::membership::Announcement;

/// Simulated executor that runs requests in its slots.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) announcement: Announcement,
    pub(super) service: usize,
    pub(super) running: u16,
    pub(super) alive: bool,
    /// Time at which the executor started to leave.
    pub(super) leaving_since: Option<Duration>,
    /// Time at which the executor failed together with its availability zone.
    pub(super) failed_at: Option<Duration>,
}

impl Executor {
    pub(super) const fn new(announcement: Announcement, service: usize) -> Self {
        Self {
            announcement,
            service,
            running: 0,
            alive: true,
            leaving_since: None,
            failed_at: None,
        }
    }

    /// Time from which the executor no longer counts as capacity; the maximum if it does not end.
    pub(super) fn capacity_end(&self) -> Duration {
        let leaving_since = self.leaving_since.unwrap_or(Duration::MAX);
        leaving_since.min(self.failed_at.unwrap_or(Duration::MAX))
    }

    /// Whether every slot runs a request.
    pub(super) const fn is_full(&self) -> bool {
        self.running >= self.announcement.slots
    }
}
