//! The callers' requests.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::EntryId;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::Scenario;

/// Callers of each service.
pub(super) const CALLERS: usize = 40;
/// Requests of the first caller for each request of another.
const FLOOD: usize = 8;
/// Interval after which the balancer spreads callers over the entries anew.
const SPREAD_INTERVAL: Duration = Duration::from_secs(2);
/// Least and greatest weight of an entry in the balancer's spread.
const SPREAD: std::ops::Range<f64> = 0.4..1.6;
/// Least part of a service's deadline that a request names.
const SHORTEST_DEADLINE: f64 = 0.4;
/// Share of requests that are idempotent.
const IDEMPOTENT: f64 = 0.7;
/// Part of the mean run time that no request falls short of.
const LEAST_RUN: f64 = 0.4;

/// Draws the callers' requests; the same for every policy.
#[derive(Debug)]
pub(super) struct Load {
    rng: ChaCha8Rng,
    weights: Vec<f64>,
    spread_at: Duration,
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) entry: EntryId,
    pub(super) caller: usize,
    pub(super) name: Arc<str>,
    pub(super) deadline: Duration,
    pub(super) idempotent: bool,
    pub(super) run: Duration,
}

impl Load {
    pub(super) fn new(scenario: &Scenario) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(scenario.seed()),
            weights: vec![1.0; usize::from(scenario.entries())],
            spread_at: Duration::ZERO,
        }
    }

    /// Time until the next request at a rate per second.
    pub(super) fn pause(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(self.exponential() / rate)
    }

    /// The request that arrives now.
    pub(super) fn next(&mut self, now: Duration, scenario: &Scenario, service: usize) -> Arrival {
        self.spread(now);
        let caller = self.rng.random_range(0..CALLERS + FLOOD - 1);
        let caller = caller.saturating_sub(FLOOD - 1);
        let deadline = scenario.services()[service].deadline;
        let part = self.rng.random_range(SHORTEST_DEADLINE..1.0);
        let run = LEAST_RUN + (1.0 - LEAST_RUN) * self.exponential();
        Arrival {
            entry: self.entry(),
            caller,
            name: format!("caller-{caller}").into(),
            deadline: deadline.mul_f64(part),
            idempotent: self.rng.random_bool(IDEMPOTENT),
            run: scenario.mean_run().mul_f64(run),
        }
    }

    /// Takes an entry out of the balancer's spread.
    pub(super) fn lose(&mut self, entry: EntryId) {
        self.weights[usize::from(entry.number())] = 0.0;
    }

    fn spread(&mut self, now: Duration) {
        if now < self.spread_at {
            return;
        }
        self.spread_at = now + SPREAD_INTERVAL;
        for weight in &mut self.weights {
            let drawn = self.rng.random_range(SPREAD);
            *weight = if *weight > 0.0 { drawn } else { 0.0 };
        }
    }

    fn entry(&mut self) -> EntryId {
        let total: f64 = self.weights.iter().sum();
        let mut left = self.rng.random_range(0.0..total);
        let found = self.weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        EntryId::new(u16::try_from(found.unwrap_or(0)).unwrap_or(0))
    }

    fn exponential(&mut self) -> f64 {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        -uniform.ln()
    }
}
