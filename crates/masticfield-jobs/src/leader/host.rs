//! What the leader knows of a host.

use std::sync::Arc;
use std::time::Duration;

use crate::job::Resources;
use crate::state::HostClaim;

/// What the leader knows of a host.
#[derive(Debug, Clone)]
pub(super) struct HostView {
    pub(super) pool: Arc<str>,
    pub(super) kind: Option<Arc<str>>,
    pub(super) capacity: Resources,
    /// Identifier of its executor, if it has one.
    pub(super) executor: Option<Arc<str>>,
    pub(super) up: bool,
    /// It is away until this moment, after an order that was carried out.
    pub(super) away_until: Option<Duration>,
    /// Wave of the upkeep that it is away for.
    pub(super) in_upkeep: Option<u64>,
    pub(super) errand: Option<Errand>,
    /// What a former leader had claimed it for when the leadership began.
    pub(super) inherited: Option<HostClaim>,
    /// When a list that names it was last read.
    pub(super) listed: Duration,
    /// Lists in a row in which it was missing.
    pub(super) missing: u32,
}

/// What is to become of a host.
#[derive(Debug, Clone)]
pub(super) struct Errand {
    pub(super) claim: HostClaim,
    pub(super) since: Duration,
    pub(super) phase: ErrandPhase,
}

/// How far an errand is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ErrandPhase {
    /// The host is being emptied, and the platform was not asked.
    Emptying,
    /// The platform has refused for now; the host may have come back meanwhile, with tasks.
    Refused(Duration),
    /// The platform is being asked since this moment.
    Ordered(Duration),
    /// The platform is to be asked again at this moment.
    Again(Duration),
}

impl HostView {
    /// Whether the host is there and nothing is planned for it.
    pub(super) fn is_free(&self, now: Duration) -> bool {
        self.up && self.errand.is_none() && !self.is_away(now)
    }

    /// Whether the host is away after an order.
    pub(super) fn is_away(&self, now: Duration) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }
}
