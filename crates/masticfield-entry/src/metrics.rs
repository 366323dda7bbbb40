//! Metrics of an entry process.

use masticfield_core::outcome::Outcome;
use prometheus::{Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry};
use snafu::{ResultExt, Snafu};

/// Metrics of the request path and of the configuration that is served.
#[derive(Debug, Clone)]
pub(crate) struct Metrics {
    outcomes: IntCounterVec,
    latency: Histogram,
    in_flight: IntGauge,
    config_version: IntGauge,
}

/// A metric cannot be registered.
#[derive(Debug, Snafu)]
#[snafu(display("a metric cannot be registered"))]
pub(crate) struct RegisterError {
    source: prometheus::Error,
}

impl Metrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &Registry) -> Result<Self, RegisterError> {
        Self::new(registry).context(RegisterSnafu)
    }

    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let outcomes = Opts::new(
            "masticfield_requests_total",
            "Requests by service and outcome",
        );
        let outcomes = IntCounterVec::new(outcomes, &["service", "outcome", "reason"])?;
        let latency = HistogramOpts::new(
            "masticfield_request_seconds",
            "Time from the head of a request to its final answer",
        )
        .buckets(prometheus::exponential_buckets(0.000_5, 2.0, 16)?);
        let latency = Histogram::with_opts(latency)?;
        let in_flight = IntGauge::new(
            "masticfield_requests_in_flight",
            "Requests without a final answer",
        )?;
        let config_version = IntGauge::new(
            "masticfield_config_version",
            "Version of the configuration served",
        )?;
        registry.register(Box::new(outcomes.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(in_flight.clone()))?;
        registry.register(Box::new(config_version.clone()))?;
        Ok(Self {
            outcomes,
            latency,
            in_flight,
            config_version,
        })
    }

    /// Records the arrival of a request.
    pub(crate) fn begin_request(&self) {
        self.in_flight.inc();
    }

    /// Records the final response to a request, `seconds` after its arrival.
    pub(crate) fn end_request(&self, service: &str, outcome: Outcome, seconds: f64) {
        let reason = match outcome {
            Outcome::Answered => "",
            Outcome::NotRun { reason, .. } => reason.label(),
            Outcome::Unknown { reason } => reason.label(),
        };
        self.outcomes
            .with_label_values(&[service, outcome.label(), reason])
            .inc();
        self.latency.observe(seconds);
        self.in_flight.dec();
    }

    /// Shows the version of the configuration that is served.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }
}
