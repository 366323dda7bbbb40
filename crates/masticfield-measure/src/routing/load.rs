//! Random requests of the callers.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::EntryId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::Scenario;

/// Callers of each service.
pub(super) const CALLERS: usize = 40;
/// Requests of the first caller per request of any other caller.
const FIRST_CALLER_WEIGHT: usize = 8;
/// Interval at which the load balancer draws new weights for the entries.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(2);
/// Range of the weight that the load balancer gives an entry.
const ENTRY_WEIGHTS: std::ops::Range<f64> = 0.4..1.6;
/// Shortest deadline of a request, as a share of the deadline of its service.
const MIN_DEADLINE_SHARE: f64 = 0.4;
/// Share of requests that are idempotent.
const IDEMPOTENT_SHARE: f64 = 0.7;
/// Shortest run time of a request, as a share of the mean run time.
const MIN_RUN_SHARE: f64 = 0.4;

/// Generator of the callers' requests.
///
/// It has a random number generator of its own, so every policy gets the same requests.
#[derive(Debug)]
pub(super) struct Load {
    rng: ChaCha8Rng,
    weights: Vec<f64>,
    rebalance_at: Duration,
}

/// Request of a caller that arrives at an entry.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) entry: EntryId,
    pub(super) caller: usize,
    pub(super) name: Arc<str>,
    /// Time from the arrival within which the caller needs an answer.
    pub(super) deadline: Duration,
    pub(super) idempotent: bool,
    /// Time that an executor takes to run the request.
    pub(super) run_time: Duration,
}

impl Load {
    pub(super) fn new(scenario: &Scenario) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed()),
            weights: vec![1.0; usize::from(scenario.entries())],
            rebalance_at: Duration::ZERO,
        }
    }

    /// Random time until the next request, at `rate` requests per second.
    pub(super) fn next_interval(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.exponential() / rate)
    }

    /// Random request for a service that arrives at `now`.
    pub(super) fn next_arrival(
        &mut self,
        now: Duration,
        scenario: &Scenario,
        service: usize,
    ) -> Arrival {
        self.rebalance(now);
        let caller = self.rng.random_range(0..CALLERS + FIRST_CALLER_WEIGHT - 1);
        let caller = caller.saturating_sub(FIRST_CALLER_WEIGHT - 1);
        let deadline = scenario.services()[service].deadline;
        let deadline_share = self.rng.random_range(MIN_DEADLINE_SHARE..1.0);
        let run_factor = MIN_RUN_SHARE + (1.0 - MIN_RUN_SHARE) * self.exponential();
        Arrival {
            entry: self.draw_entry(),
            caller,
            name: format!("caller-{caller}").into(),
            deadline: deadline.mul_f64(deadline_share),
            idempotent: self.rng.random_bool(IDEMPOTENT_SHARE),
            run_time: scenario.mean_run_time().mul_f64(run_factor),
        }
    }

    /// Removes an entry from the load balancer.
    pub(super) fn remove_entry(&mut self, entry: EntryId) {
        self.weights[usize::from(entry.number())] = 0.0;
    }

    fn rebalance(&mut self, now: Duration) {
        if now < self.rebalance_at {
            return;
        }
        self.rebalance_at = now + REBALANCE_INTERVAL;
        for weight in &mut self.weights {
            let drawn = self.rng.random_range(ENTRY_WEIGHTS);
            *weight = if *weight > 0.0 { drawn } else { 0.0 };
        }
    }

    fn draw_entry(&mut self) -> EntryId {
        let total: f64 = self.weights.iter().sum();
        let mut remaining = self.rng.random_range(0.0..total);
        let index = self.weights.iter().position(|weight| {
            remaining -= weight;
            remaining < 0.0
        });
        EntryId::new(u16::try_from(index.unwrap_or(0)).unwrap_or(0))
    }

    /// Random number from the exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln()
    }
}
