//! Counters of the router's decisions.

/// Number of decisions of each kind since the router was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived, whether admitted or refused.
    pub requests: u64,
    /// Dispatches to upstreams, retries included.
    pub dispatched: u64,
    /// Dispatches that were retries.
    pub retried: u64,
    /// Retries that the retry budget did not allow.
    pub retries_denied: u64,
    /// Requests that had to wait for a slot on arrival.
    pub queued: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Requests refused after they had been queued or delayed for a retry.
    pub shed: u64,
    /// Requests refused on arrival because their caller exceeded its fair share.
    pub over_share: u64,
    /// Dispatches outside the preferred availability zone.
    pub spilled: u64,
    /// Times that an upstream was set aside as an outlier.
    pub set_aside: u64,
    /// Slot requests made to home entries, this entry included.
    pub slot_requests: u64,
    /// Slot grants made as a home entry, those to this entry included.
    pub grants: u64,
}
