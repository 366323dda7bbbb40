//! A fake executor.

use std::time::Duration;

use masticfield_core::membership::Announcement;

/// A fake executor that runs requests in its slots.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) announcement: Announcement,
    pub(super) service: usize,
    pub(super) running: u16,
    pub(super) alive: bool,
    /// When it began to leave.
    pub(super) leaving_since: Option<Duration>,
    /// When its availability zone was lost.
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

    /// When it stopped to be part of the capacity.
    pub(super) fn capacity_end(&self) -> Duration {
        let left = self.leaving_since.unwrap_or(Duration::MAX);
        left.min(self.failed_at.unwrap_or(Duration::MAX))
    }

    /// Whether all slots run a request.
    pub(super) const fn is_full(&self) -> bool {
        self.running >= self.announcement.slots
    }
}
