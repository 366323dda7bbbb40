//! What came of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Longest wait that is told apart, in microseconds.
const MAX_WAIT_US: u64 = 120_000_000;

/// Counts of outcomes and the distribution of waits.
#[derive(Debug, Clone)]
pub struct LoadReport {
    answered: u64,
    not_run: u64,
    unknown: u64,
    unreachable: u64,
    untrue: u64,
    waits: Histogram<u64>,
}

/// What one request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Seen {
    Answered,
    NotRun,
    Unknown,
    Unreachable,
    /// An answer that does not belong to the request, or has no outcome.
    Untrue,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Panics
    ///
    /// Panics if the bounds of the histogram are invalid, which is a bug.
    pub fn new() -> Self {
        let waits = Histogram::new_with_bounds(1, MAX_WAIT_US, 3).expect("the bounds are valid");
        Self {
            answered: 0,
            not_run: 0,
            unknown: 0,
            unreachable: 0,
            untrue: 0,
            waits,
        }
    }

    /// Requests that got their whole answer.
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Requests that did not run.
    pub const fn not_run(&self) -> u64 {
        self.not_run
    }

    /// Requests whose outcome is unknown.
    pub const fn unknown(&self) -> u64 {
        self.unknown
    }

    /// Requests that reached no entry.
    pub const fn unreachable(&self) -> u64 {
        self.unreachable
    }

    /// Answers that were not the answer to their request.
    pub const fn mismatched(&self) -> u64 {
        self.untrue
    }

    /// All requests.
    pub const fn total(&self) -> u64 {
        self.answered + self.not_run + self.unknown + self.unreachable + self.untrue
    }

    /// The wait that `quantile` of the answered requests stayed under.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.waits.value_at_quantile(quantile))
    }

    /// Adds another report to this one.
    ///
    /// # Panics
    ///
    /// Panics if the histograms have other bounds, which is a bug.
    pub fn merge(&mut self, other: &Self) {
        self.answered += other.answered;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unreachable += other.unreachable;
        self.untrue += other.untrue;
        self.waits
            .add(&other.waits)
            .expect("both histograms have the same bounds");
    }

    /// The report as JSON.
    pub fn to_json(&self) -> Value {
        json!({
            "answered": self.answered,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "unreachable": self.unreachable,
            "untrue": self.untrue,
            "p50_us": self.waits.value_at_quantile(0.5),
            "p99_us": self.waits.value_at_quantile(0.99),
        })
    }

    pub(super) fn record(&mut self, seen: Seen, wait: Duration) {
        match seen {
            Seen::Answered => {
                self.answered += 1;
                let micros = u64::try_from(wait.as_micros()).unwrap_or(MAX_WAIT_US);
                self.waits.saturating_record(micros.clamp(1, MAX_WAIT_US));
            }
            Seen::NotRun => self.not_run += 1,
            Seen::Unknown => self.unknown += 1,
            Seen::Unreachable => self.unreachable += 1,
            Seen::Untrue => self.untrue += 1,
        }
    }
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}
