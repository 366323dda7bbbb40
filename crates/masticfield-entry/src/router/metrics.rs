//! Metrics of the router.

use masticfield_routing::counters::Counters;
use prometheus::{IntGauge, IntGaugeVec, Opts, Registry};

/// Decisions since the start, and the requests that wait or are at upstreams now.
#[derive(Debug, Clone)]
pub(super) struct RouterMetrics {
    decisions: IntGaugeVec,
    waiting: IntGauge,
    in_flight: IntGauge,
}

impl RouterMetrics {
    /// Creates the metrics and registers them.
    pub(super) fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let decisions = Opts::new("masticfield_router_decisions", "Decisions since the start");
        let decisions = IntGaugeVec::new(decisions, &["decision"])?;
        let waiting = IntGauge::new("masticfield_router_waiting", "Requests that wait")?;
        let in_flight = IntGauge::new("masticfield_router_in_flight", "Requests at upstreams")?;
        registry.register(Box::new(decisions.clone()))?;
        registry.register(Box::new(waiting.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        Ok(Self {
            decisions,
            waiting,
            in_flight,
        })
    }

    /// Sets the metrics to the current state of the router.
    pub(super) fn update(&self, counters: Counters, waiting: usize, in_flight: usize) {
        let decisions = [
            ("requests", counters.requests),
            ("dispatched", counters.dispatched),
            ("retried", counters.retried),
            ("retries-denied", counters.retries_denied),
            ("queued", counters.queued),
            ("refused", counters.refused),
            ("shed", counters.shed),
            ("over-share", counters.over_share),
            ("spilled", counters.spilled),
            ("set-aside", counters.set_aside),
            ("wishes", counters.slot_requests),
            ("grants", counters.grants),
        ];
        for (decision, count) in decisions {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            self.decisions.with_label_values(&[decision]).set(count);
        }
        self.waiting.set(i64::try_from(waiting).unwrap_or(i64::MAX));
        let in_flight = i64::try_from(in_flight).unwrap_or(i64::MAX);
        self.in_flight.set(in_flight);
    }
}
