//! Results of a load generator.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Upper bound of the latency histogram, in microseconds; longer latencies are recorded as this.
const MAX_LATENCY_US: u64 = 120_000_000;

/// Counts of requests by result, and the latency distribution of answered ones.
#[derive(Debug, Clone)]
pub struct LoadReport {
    answered: u64,
    not_run: u64,
    unknown: u64,
    unreachable: u64,
    mismatched: u64,
    latencies: Histogram<u64>,
}

/// Result of one request, as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestResult {
    /// The complete answer of an executor to this request.
    Answered,
    /// The entry reported that the request was not run.
    NotRun,
    /// The entry reported that the outcome is unknown.
    Unknown,
    /// The HTTP exchange failed: no connection, time-out, or a broken response.
    Unreachable,
    /// The response has no valid outcome, or its body does not match the request.
    Mismatched,
}

impl LoadReport {
    /// Creates a report without requests.
    ///
    /// # Panics
    ///
    /// Panics if the bounds of the histogram are invalid, which is a bug.
    pub fn new() -> Self {
        let latencies =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid");
        Self {
            answered: 0,
            not_run: 0,
            unknown: 0,
            unreachable: 0,
            mismatched: 0,
            latencies,
        }
    }

    /// Requests that received their complete answer.
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Requests that an entry reported as not run.
    pub const fn not_run(&self) -> u64 {
        self.not_run
    }

    /// Requests whose outcome an entry reported as unknown.
    pub const fn unknown(&self) -> u64 {
        self.unknown
    }

    /// Requests that failed without a complete HTTP response.
    pub const fn unreachable(&self) -> u64 {
        self.unreachable
    }

    /// Responses without a valid outcome, or with a body that does not match the request.
    pub const fn mismatched(&self) -> u64 {
        self.mismatched
    }

    /// Requests sent, whatever their result.
    pub const fn total(&self) -> u64 {
        self.answered + self.not_run + self.unknown + self.unreachable + self.mismatched
    }

    /// Latency of answered requests at a quantile between 0 and 1, to three significant digits.
    pub fn latency_at(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.value_at_quantile(quantile))
    }

    /// Adds the counts and latencies of another report.
    ///
    /// # Panics
    ///
    /// Panics if the bounds of the histograms differ, which is a bug.
    pub fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unreachable += other.unreachable;
        self.mismatched += other.mismatched;
        self.latencies
            .add(&other.latencies)
            .expect("both histograms have the same bounds");
    }

    /// Counts, and median and 99th percentile of the latency in microseconds, as a JSON object.
    pub fn to_json(&self) -> Value {
        json!({
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "unreachable": self.unreachable,
            "untrue": self.mismatched,
            "p50_us": self.latencies.value_at_quantile(0.5),
            "p99_us": self.latencies.value_at_quantile(0.99),
        })
    }

    pub(super) fn record(&mut self, result: RequestResult, latency: Duration) {
        match result {
            RequestResult::Answered => {
                self.answered += 1;
                let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
                self.latencies
                    .saturating_record(micros.clamp(1, MAX_LATENCY_US));
            }
            RequestResult::NotRun => self.not_run += 1,
            RequestResult::Unknown => self.unknown += 1,
            RequestResult::Unreachable => self.unreachable += 1,
            RequestResult::Mismatched => self.mismatched += 1,
        }
    }
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}
