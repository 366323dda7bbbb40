//! Options of a router.

use std::time::Duration;

use crate::slots::SlotPolicy;

/// Order in which the waiting requests of a service are dispatched.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum QueueOrder {
    /// First in, first out.
    #[default]
    Fifo,
    /// Last in, first out.
    Lifo,
    /// Earliest deadline first.
    EarliestDeadline,
}

/// Limits and intervals of a [`Router`](crate::router::Router).
///
/// All entries of an installation must use the same `grant_ttl` and `vote_ttl`.
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// How entries share the slots of an upstream.
    pub policy: SlotPolicy,
    /// Order of every service's queue.
    pub queue_order: QueueOrder,
    /// Maximum number of requests waiting for one service.
    pub max_queue: usize,
    /// Retries allowed per first attempt; 0.1 is one retry per ten requests.
    pub retry_ratio: f64,
    /// Maximum number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Maximum pause before the first retry; doubles with each further one.
    pub retry_backoff: Duration,
    /// Minimum time after which a refused caller is asked to come back.
    pub retry_after: Duration,
    /// Maximum fraction of a service's upstreams that may be set aside as outliers.
    pub max_set_aside: f64,
    /// How long a slot grant allows new dispatches, counted from the request for it.
    pub grant_ttl: Duration,
    /// Interval between two slot requests for the same upstream while demand is unchanged.
    pub grant_refresh_interval: Duration,
    /// How long an entry's vote for a home binds it, counted from the home's last answer.
    pub vote_ttl: Duration,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            policy: SlotPolicy::Leased,
            queue_order: QueueOrder::Fifo,
            max_queue: 512,
            retry_ratio: 0.1,
            max_attempts: 3,
            retry_backoff: Duration::from_millis(10),
            retry_after: Duration::from_secs(1),
            max_set_aside: 0.5,
            grant_ttl: Duration::from_millis(2_500),
            grant_refresh_interval: Duration::from_millis(300),
            vote_ttl: Duration::from_secs(1),
        }
    }
}
