//! Simulated hosts.

use std::sync::Arc;

/// A simulated host.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) name: Arc<str>,
    pub(crate) pool: Arc<str>,
    /// Time until which a move or upkeep keeps the host away.
    pub(crate) available_at: u64,
    /// Index of the executor on the host; `None` while the host is away or its executor is down.
    pub(crate) executor: Option<usize>,
    /// Identifier that the next executor on the host takes over from the last one, if it does.
    pub(crate) kept_id: Option<Arc<str>>,
    /// Highest fence of a request about the host; requests must exceed it.
    pub(crate) fence: u64,
    /// Epoch of the leader that last sent a request about the host, and the time of that request.
    pub(crate) last_order: Option<(u64, u64)>,
    /// Whether the last operation on the host was upkeep rather than a move.
    pub(crate) in_upkeep: bool,
    /// Whether an upkeep of the host has been requested.
    pub(crate) upkeep_requested: bool,
    /// Whether the upkeep of the host has begun.
    pub(crate) upkeep_begun: bool,
}
