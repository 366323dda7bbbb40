//! A service as the router serves it.

use std::time::Duration;

use masticfield_core::ids::UpstreamKey;

use crate::budget::RetryBudget;
use crate::options::RouterOptions;
use crate::queue::WaitQueue;
use crate::shares::CallerShares;

/// Weight of the latest request in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Weight of the latest number in flight in the smoothed one.
const LANES_WEIGHT: f64 = 0.05;
/// Run times that a request should have left when it is sent, in mean service times.
const RUN_ALLOWANCE: f64 = 2.0;

/// A service as the router serves it.
#[derive(Debug)]
pub(super) struct Served {
    pub(super) deadline: Duration,
    /// Longest time that a request may be in flight; it never falls.
    pub(super) run_limit: Duration,
    pub(super) upstreams: Vec<UpstreamKey>,
    pub(super) queue: WaitQueue,
    pub(super) shares: CallerShares,
    pub(super) budget: RetryBudget,
    pub(super) in_flight: usize,
    mean: Option<Duration>,
    /// Smoothed number of requests in flight while others wait.
    lanes: f64,
    /// Requests that the entry may have in flight if all entries are busy.
    pub(super) own_lanes: f64,
}

impl Served {
    pub(super) fn new(deadline: Duration, options: &RouterOptions) -> Self {
        Self {
            deadline,
            run_limit: deadline,
            upstreams: Vec::new(),
            queue: WaitQueue::new(options.queue_order),
            shares: CallerShares::new(),
            budget: RetryBudget::new(options.retry_share),
            in_flight: 0,
            mean: None,
            lanes: 1.0,
            own_lanes: f64::INFINITY,
        }
    }

    pub(super) fn set_deadline(&mut self, deadline: Duration) {
        self.deadline = deadline;
        self.run_limit = self.run_limit.max(deadline);
    }

    /// Notes how long a request was in flight.
    pub(super) fn observe(&mut self, took: Duration) {
        let mean = self.mean.unwrap_or(took);
        let next = mean.as_secs_f64() * (1.0 - SERVICE_TIME_WEIGHT)
            + took.as_secs_f64() * SERVICE_TIME_WEIGHT;
        self.mean = Some(Duration::from_secs_f64(next));
    }

    /// Mean time that a request is in flight; zero before the first.
    pub(super) fn mean(&self) -> Duration {
        self.mean.unwrap_or_default()
    }

    /// Time that a request should have left when it is sent.
    pub(super) fn run_allowance(&self) -> Duration {
        self.mean().mul_f64(RUN_ALLOWANCE)
    }

    /// Notes how many requests are in flight.
    pub(super) fn observe_lanes(&mut self) {
        let lanes = f64::from(u32::try_from(self.in_flight).unwrap_or(u32::MAX));
        self.lanes = if self.queue.is_empty() {
            lanes.max(1.0)
        } else {
            (self.lanes * (1.0 - LANES_WEIGHT) + lanes * LANES_WEIGHT).max(1.0)
        };
    }

    /// Estimated wait behind `ahead` others.
    pub(super) fn wait_behind(&self, ahead: usize) -> Duration {
        let turns = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.mean().mul_f64(f64::from(turns) / self.lasting_lanes())
    }

    /// The lanes without those that another entry may claim back.
    const fn lasting_lanes(&self) -> f64 {
        self.lanes.min(self.own_lanes.max(1.0))
    }
}
