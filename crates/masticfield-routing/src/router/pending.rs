//! A request that has no final answer yet.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, UpstreamKey};
use masticfield_core::outcome::UnknownReason;

use crate::queue::Place;

/// A request that has no final answer yet.
#[derive(Debug, Clone)]
pub(super) struct Pending {
    pub(super) service: ServiceKey,
    pub(super) caller: Arc<str>,
    pub(super) zone: Arc<str>,
    pub(super) idempotent: bool,
    pub(super) due: Duration,
    pub(super) attempt: u32,
    /// The upstream that failed the last attempt.
    pub(super) avoid: Option<UpstreamKey>,
    pub(super) place: Option<Place>,
    /// What was seen of an earlier attempt that may have run.
    pub(super) lost: Option<UnknownReason>,
}

/// A request at an upstream.
#[derive(Debug, Clone)]
pub(super) struct InFlight {
    pub(super) upstream: UpstreamKey,
    pub(super) started: Duration,
    pub(super) pending: Pending,
}
