//! Counters of the router's decisions.

/// How often each decision was made since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests admitted or refused.
    pub requests: u64,
    /// Requests sent to an upstream, retries included.
    pub dispatched: u64,
    /// Requests sent again.
    pub retried: u64,
    /// Retries that the budget did not allow.
    pub retries_denied: u64,
    /// Requests that had to wait.
    pub queued: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Requests refused after they had waited.
    pub shed: u64,
    /// Refusals, of either kind, because of the caller's share.
    pub over_share: u64,
    /// Requests sent to another availability zone than the preferred one.
    pub spilled: u64,
    /// Upstreams set aside as outliers.
    pub set_aside: u64,
    /// Wishes sent to homes.
    pub slot_requests: u64,
    /// Grants sent as a home.
    pub grants: u64,
}
