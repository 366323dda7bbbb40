//! The leader's view of a host.

use std::sync::Arc;
use std::time::Duration;

use crate::job::Resources;
use crate::state::HostClaim;

/// The leader's view of a host: what the platform lists, and the operation in progress.
#[derive(Debug, Clone)]
pub(super) struct HostView {
    pub(super) pool: Arc<str>,
    pub(super) kind: Option<Arc<str>>,
    pub(super) capacity: Resources,
    /// Identifier of the host's executor, if it has one.
    pub(super) executor: Option<Arc<str>>,
    pub(super) up: bool,
    /// Time until which a move or an upkeep keeps the host away.
    pub(super) away_until: Option<Duration>,
    /// Time at which the platform confirmed the latest move or upkeep.
    pub(super) taken_at: Duration,
    /// Wave of the latest upkeep, until a new executor is listed.
    pub(super) upkeep_wave: Option<u64>,
    pub(super) operation: Option<HostOperation>,
    /// Claim of a former leader that was outstanding when the leadership began.
    pub(super) inherited: Option<HostClaim>,
    /// Time at which the latest list that contains the host was requested.
    pub(super) last_listed: Duration,
    /// Number of consecutive lists that did not contain the host.
    pub(super) missing_lists: u32,
}

/// A move or an upkeep that is planned or requested for a host.
#[derive(Debug, Clone)]
pub(super) struct HostOperation {
    pub(super) claim: HostClaim,
    pub(super) started_at: Duration,
    pub(super) phase: OperationPhase,
}

/// Progress of a host operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OperationPhase {
    /// The host is draining; nothing has been requested from the platform.
    Draining,
    /// The platform has refused the request, to be repeated from this time on. The host may have
    /// come back with tasks meanwhile, so it is drained again first.
    Refused(Duration),
    /// The request was sent at this time and is not answered.
    Ordered(Duration),
    /// The request is to be repeated at this time.
    Retry(Duration),
}

impl HostView {
    /// Returns whether the host is up, not away, and without an operation.
    pub(super) fn is_available(&self, now: Duration) -> bool {
        self.up && self.operation.is_none() && !self.is_away(now)
    }

    /// Returns whether a move or an upkeep keeps the host away.
    pub(super) fn is_away(&self, now: Duration) -> bool {
        self.away_until.is_some_and(|until| now < until)
    }
}
