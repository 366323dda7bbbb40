//! An upstream as the router sees it.

use std::time::Duration;

use masticfield_core::ids::ServiceKey;
use masticfield_core::membership::Announcement;

use crate::health::Health;
use crate::slots::{Home, Lease};

/// An upstream as the router sees it.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) news: Announcement,
    pub(super) service: Option<ServiceKey>,
    /// When it was taken out of the table.
    ///
    /// It stays until nothing can be in flight there, as it may come back.
    pub(super) removed_at: Option<Duration>,
    pub(super) in_flight: u16,
    pub(super) share: u16,
    pub(super) lease: Lease,
    pub(super) home: Home,
    pub(super) health: Health,
    /// Until when it gets nothing after it has refused.
    pub(super) full_until: Duration,
    pub(super) wished_at: Duration,
    /// The need that the latest wish told.
    pub(super) wished_need: u16,
    pub(super) next_wish: Duration,
}

impl Upstream {
    pub(super) const fn takes_new_work(&self) -> bool {
        self.news.state.takes_new_work() && self.removed_at.is_none()
    }
}
