//! Routing state of one service.

use std::time::Duration;

use masticfield_core::ids::UpstreamKey;

use crate::budget::RetryBudget;
use crate::options::RouterOptions;
use crate::queue::WaitQueue;
use crate::shares::CallerShares;

/// Weight of the latest request in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.05;
/// Weight of the latest sample in the smoothed concurrency.
const CONCURRENCY_WEIGHT: f64 = 0.05;
/// Time that a request should have left when it is sent, in mean service times.
const RUN_ALLOWANCE: f64 = 2.0;

/// Routing state of one service.
#[derive(Debug)]
pub(super) struct Service {
    pub(super) deadline: Duration,
    /// Maximum time that a request may be in flight: the longest deadline so far.
    pub(super) run_limit: Duration,
    pub(super) upstreams: Vec<UpstreamKey>,
    pub(super) queue: WaitQueue,
    pub(super) shares: CallerShares,
    pub(super) budget: RetryBudget,
    pub(super) in_flight: usize,
    mean_service_time: Option<Duration>,
    /// Smoothed number of concurrent requests while others wait.
    concurrency: f64,
    /// Slots left to this entry if all entries are busy.
    pub(super) own_slots: f64,
}

impl Service {
    pub(super) fn new(deadline: Duration, options: &RouterOptions) -> Self {
        Self {
            deadline,
            run_limit: deadline,
            upstreams: Vec::new(),
            queue: WaitQueue::new(options.queue_order),
            shares: CallerShares::new(),
            budget: RetryBudget::new(options.retry_ratio),
            in_flight: 0,
            mean_service_time: None,
            concurrency: 1.0,
            own_slots: f64::INFINITY,
        }
    }

    pub(super) fn set_deadline(&mut self, deadline: Duration) {
        self.deadline = deadline;
        self.run_limit = self.run_limit.max(deadline);
    }

    /// Updates the mean service time with the time that a request was in flight.
    pub(super) fn record_service_time(&mut self, service_time: Duration) {
        let mean = self.mean_service_time.unwrap_or(service_time);
        let next = mean.as_secs_f64() * (1.0 - SERVICE_TIME_WEIGHT)
            + service_time.as_secs_f64() * SERVICE_TIME_WEIGHT;
        self.mean_service_time = Some(Duration::from_secs_f64(next));
    }

    /// Mean time that a request is in flight; zero before the first one has ended.
    pub(super) fn mean_service_time(&self) -> Duration {
        self.mean_service_time.unwrap_or_default()
    }

    /// Time that a request should have left when it is sent.
    pub(super) fn run_allowance(&self) -> Duration {
        self.mean_service_time().mul_f64(RUN_ALLOWANCE)
    }

    /// Updates the concurrency with the present number of requests in flight.
    pub(super) fn record_concurrency(&mut self) {
        let in_flight = f64::from(u32::try_from(self.in_flight).unwrap_or(u32::MAX));
        self.concurrency = if self.queue.is_empty() {
            in_flight.max(1.0)
        } else {
            (self.concurrency * (1.0 - CONCURRENCY_WEIGHT) + in_flight * CONCURRENCY_WEIGHT)
                .max(1.0)
        };
    }

    /// Estimated wait of a request with `ahead` others before it.
    pub(super) fn wait_behind(&self, ahead: usize) -> Duration {
        let requests = u32::try_from(ahead + 1).unwrap_or(u32::MAX);
        self.mean_service_time()
            .mul_f64(f64::from(requests) / self.sustained_concurrency())
    }

    /// The concurrency without slots that other entries may reclaim.
    const fn sustained_concurrency(&self) -> f64 {
        self.concurrency.min(self.own_slots.max(1.0))
    }
}
