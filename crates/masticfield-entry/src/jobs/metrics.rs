//! Metrics of callers' requests for jobs and of the connection to the leading replica.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, exponential_buckets,
};

/// Metrics of callers' requests for jobs and of the connection to the leading replica.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_entry::jobs::JobRequestMetrics;
/// use prometheus::Registry;
///
/// let metrics = JobRequestMetrics::register(&Registry::new())?;
/// metrics.record_response("POST", 429, Duration::from_millis(3));
/// # Ok::<(), prometheus::Error>(())
/// ```
#[derive(Debug, Clone)]
pub struct JobRequestMetrics {
    responses: IntCounterVec,
    latency: Histogram,
    connected: IntGauge,
    connection_changes: IntCounterVec,
    relayed_calls: IntCounterVec,
}

impl JobRequestMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if the registry already has a metric of the same name.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let responses = Opts::new("masticfield_answers_total", "Answers to callers");
        let latency = HistogramOpts::new(
            "masticfield_answer_seconds",
            "Time from the head of a request to its answer",
        );
        let connection_changes = Opts::new(
            "masticfield_leader_connections_total",
            "Connections to the leading replica that were made and lost",
        );
        let relayed_calls = Opts::new(
            "masticfield_relay_calls_total",
            "Calls of the leader that this entry has made to executors",
        );
        let metrics = Self {
            responses: IntCounterVec::new(responses, &["method", "status"])?,
            latency: Histogram::with_opts(latency.buckets(exponential_buckets(0.001, 2.0, 14)?))?,
            connected: IntGauge::new(
                "masticfield_leader_connected",
                "Whether the leading replica is connected",
            )?,
            connection_changes: IntCounterVec::new(connection_changes, &["what"])?,
            relayed_calls: IntCounterVec::new(relayed_calls, &["call", "outcome"])?,
        };
        registry.register(Box::new(metrics.responses.clone()))?;
        registry.register(Box::new(metrics.latency.clone()))?;
        registry.register(Box::new(metrics.connected.clone()))?;
        registry.register(Box::new(metrics.connection_changes.clone()))?;
        registry.register(Box::new(metrics.relayed_calls.clone()))?;
        Ok(metrics)
    }

    /// Counts a response and its latency.
    ///
    /// A method other than GET, POST and DELETE counts as `other`, which bounds the label's values.
    pub fn record_response(&self, method: &str, status: u16, latency: Duration) {
        let method = match method {
            "GET" | "POST" | "DELETE" => method,
            _ => "other",
        };
        let status = status.to_string();
        self.responses.with_label_values(&[method, &status]).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Counts a call to an executor that was relayed for the leader, and whether it succeeded.
    pub fn count_relayed_call(&self, call: &str, succeeded: bool) {
        let outcome = if succeeded { "done" } else { "failed" };
        self.relayed_calls.with_label_values(&[call, outcome]).inc();
    }

    /// Records that a connection to the leading replica was made or lost.
    pub(super) fn record_connection(&self, connected: bool) {
        self.connected.set(i64::from(connected));
        let what = if connected { "made" } else { "lost" };
        self.connection_changes.with_label_values(&[what]).inc();
    }
}
