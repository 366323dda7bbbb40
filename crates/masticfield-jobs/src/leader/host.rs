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
    pub(super) upkeep_wave: Option<u64>,
    pub(super) operation: Option<HostOperation>,
    /// What a former leader had claimed it for when the leadership began.
    pub(super) inherited: Option<HostClaim>,
    /// When a list that names it was last read.
    pub(super) last_listed: Duration,
    /// Lists in a row in which it was missing.
    pub(super) missing_lists: u32,
}

/// What is to become of a host.
#[derive(Debug, Clone)]
pub(super) struct HostOperation {
    pub(super) claim: HostClaim,
    pub(super) started_at: Duration,
    pub(super) phase: OperationPhase,
}

/// How far an errand is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OperationPhase {
    /// The host is being emptied, and the platform was not asked.
    Draining,
    /// The platform has refused for now; the host may have come back meanwhile, with tasks.
    Refused(Duration),
    /// The platform is being asked since this moment.
    Ordered(Duration),
    /// The platform is to be asked again at this moment.
    Retry(Duration),
}

impl HostView {
    /// Whether the host is there and nothing is planned for it.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        self.up && self.operation.is_none() && !self.is_away(now)
    }

    /// Whether the host is away after an order.
    pub(super) fn is_away(&self, now: Duration) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }
}
