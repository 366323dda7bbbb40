//! Requests without a final answer.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, UpstreamKey};
use masticfield_core::outcome::UnknownReason;

use crate::queue::QueuePosition;

/// A request without a final answer.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) service: ServiceKey,
    pub(super) caller: Arc<str>,
    /// Preferred availability zone.
    pub(super) zone: Arc<str>,
    pub(super) idempotent: bool,
    pub(super) due: Duration,
    pub(super) attempt: u32,
    /// Upstream of the last attempt, which the next one avoids.
    pub(super) avoid: Option<UpstreamKey>,
    /// `None` while the request is not in a queue.
    pub(super) position: Option<QueuePosition>,
    /// Why the outcome of an earlier attempt is unknown.
    ///
    /// `None` if no earlier attempt was lost; a current one may be running.
    pub(super) lost: Option<UnknownReason>,
}

/// A request that was sent to an upstream.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) upstream: UpstreamKey,
    pub(super) started: Duration,
    pub(super) pending: Pending,
}
