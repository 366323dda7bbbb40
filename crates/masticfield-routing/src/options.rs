//! The options of a router.

use std::time::Duration;

use crate::slots::SlotPolicy;

/// Order in which the queue of a service is served.
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

/// Limits and times of a [`Router`](crate::router::Router).
#[derive(Debug, Clone)]
pub struct RouterOptions {
    /// How slots are shared among entries.
    pub policy: SlotPolicy,
    /// Order of each service's queue.
    pub queue_order: QueueOrder,
    /// Requests that may wait for one service.
    pub max_queue: usize,
    /// Retries allowed per first attempt.
    pub retry_share: f64,
    /// Attempts allowed per request, the first included.
    pub max_attempts: u32,
    /// Longest pause before a first retry; doubles with each attempt.
    pub retry_backoff: Duration,
    /// Shortest time after which a refused caller is asked to come back.
    pub retry_after: Duration,
    /// Largest share of a service's upstreams that may be set aside as outliers.
    pub max_set_aside: f64,
    /// How long a slot grant allows new dispatches, from the wish that it answers.
    pub grant_ttl: Duration,
    /// Interval between two wishes for the same upstream.
    pub grant_refresh: Duration,
    /// How long an entry stays with the home that it last heard of.
    pub pledge: Duration,
}

impl Default for RouterOptions {
    fn default() -> Self {
        Self {
            policy: SlotPolicy::Leased,
            queue_order: QueueOrder::Fifo,
            max_queue: 512,
            retry_share: 0.1,
            max_attempts: 3,
            retry_backoff: Duration::from_millis(10),
            retry_after: Duration::from_secs(1),
            max_set_aside: 0.5,
            grant_ttl: Duration::from_millis(2_500),
            grant_refresh: Duration::from_millis(300),
            pledge: Duration::from_secs(1),
        }
    }
}
