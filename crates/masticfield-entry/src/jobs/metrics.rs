//! Counters and histograms of callers' requests for jobs.

use std::time::Duration;

use prometheus::{
    Histogram, HistogramOpts, IntCounterVec, IntGauge, Opts, Registry, exponential_buckets,
};

/// Counters and histograms of callers' requests for jobs.
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
    answers: IntCounterVec,
    seconds: Histogram,
    connected: IntGauge,
    lost: IntCounterVec,
}

impl JobRequestMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Fails if a metric of the same name is registered.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let answers = Opts::new("masticfield_answers_total", "Answers to callers");
        let seconds = HistogramOpts::new(
            "masticfield_answer_seconds",
            "Time from the head of a request to its answer",
        );
        let lost = Opts::new(
            "masticfield_leader_connections_total",
            "Connections to the leading replica that were made and lost",
        );
        let metrics = Self {
            answers: IntCounterVec::new(answers, &["method", "status"])?,
            seconds: Histogram::with_opts(seconds.buckets(exponential_buckets(0.001, 2.0, 14)?))?,
            connected: IntGauge::new(
                "masticfield_leader_connected",
                "Whether the leading replica is connected",
            )?,
            lost: IntCounterVec::new(lost, &["what"])?,
        };
        registry.register(Box::new(metrics.answers.clone()))?;
        registry.register(Box::new(metrics.seconds.clone()))?;
        registry.register(Box::new(metrics.connected.clone()))?;
        registry.register(Box::new(metrics.lost.clone()))?;
        Ok(metrics)
    }

    /// Notes an answer; a method that is not served counts as `other`.
    pub fn record_response(&self, method: &str, status: u16, time: Duration) {
        let method = match method {
            "GET" | "POST" | "DELETE" => method,
            _ => "other",
        };
        let status = status.to_string();
        self.answers.with_label_values(&[method, &status]).inc();
        self.seconds.observe(time.as_secs_f64());
    }

    pub(super) fn connected(&self, connected: bool) {
        self.connected.set(i64::from(connected));
        let what = if connected { "made" } else { "lost" };
        self.lost.with_label_values(&[what]).inc();
    }
}
