//! Routing state of one upstream.

use std::time::Duration;

use masticfield_core::ids::ServiceKey;
use masticfield_core::membership::Announcement;

use crate::health::Health;
use crate::slots::{Home, Lease};

/// Routing state of one upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) announcement: Announcement,
    /// `None` if the service is not configured.
    pub(super) service: Option<ServiceKey>,
    /// When the upstream was removed from the table.
    ///
    /// Its state is kept until nothing can be in flight there, as it may be announced again.
    pub(super) removed_at: Option<Duration>,
    pub(super) in_flight: u16,
    /// Slots that this entry owns under the static policy.
    pub(super) share: u16,
    pub(super) lease: Lease,
    pub(super) home: Home,
    pub(super) health: Health,
    /// End of the pause after a refusal, under the two-choices policy.
    pub(super) full_until: Duration,
    pub(super) requested_at: Duration,
    /// Demand that the latest slot request reported.
    pub(super) requested_demand: u16,
    pub(super) next_request: Duration,
}

impl Upstream {
    pub(super) const fn takes_new_work(&self) -> bool {
        self.announcement.state.takes_new_work() && self.removed_at.is_none()
    }
}
