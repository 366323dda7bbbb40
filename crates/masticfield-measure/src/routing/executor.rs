//! A fake executor.

use std::time::Duration;

use masticfield_core::membership::Announcement;

/// A fake executor that runs requests in its slots.
#[derive(Debug)]
pub(super) struct Executor {
    pub(super) news: Announcement,
    pub(super) service: usize,
    pub(super) running: u16,
    pub(super) alive: bool,
    /// When it began to leave.
    pub(super) left_at: Option<Duration>,
    /// When its availability zone was lost.
    pub(super) lost_at: Option<Duration>,
}

impl Executor {
    pub(super) const fn new(news: Announcement, service: usize) -> Self {
        Self {
            news,
            service,
            running: 0,
            alive: true,
            left_at: None,
            lost_at: None,
        }
    }

    /// When it stopped to be part of the capacity.
    pub(super) fn until(&self) -> Duration {
        let left = self.left_at.unwrap_or(Duration::MAX);
        left.min(self.lost_at.unwrap_or(Duration::MAX))
    }

    /// Whether all slots run a request.
    pub(super) const fn is_full(&self) -> bool {
        self.running >= self.news.slots
    }
}
