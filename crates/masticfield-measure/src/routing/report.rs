//! The figures of one run.

use serde::Serialize;

/// The figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Useful run time in the surges, over the slots' time.
    pub goodput_of_capacity: f64,
    /// The same for the worst surge.
    pub worst_goodput: f64,
    /// Median time beyond the direct way of answered requests of the surges.
    pub p50_wait_ms: f64,
    /// 99th percentile of the same.
    pub p99_wait_ms: f64,
    /// The same between surges, from one deadline after a surge on.
    pub quiet_p99_wait_ms: f64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests answered in time.
    pub answered: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that died with their entry.
    pub lost_with_entry: u64,
    /// Requests without exactly one outcome, those lost with their entry apart.
    pub not_one_outcome: u64,
    /// Refusals later than 50 ms after arrival, or after the fault that caused them.
    pub late_refusals: u64,
    /// Requests that reached an executor beyond its slots and were not refused by it.
    pub over_slots: u64,
    /// Requests that an executor refused.
    pub refused_by_executor: u64,
    /// Requests that are not idempotent and were started twice.
    #[serde(rename = "twice_run")]
    pub duplicate_runs: u64,
    /// Requests said not to have run that were started.
    pub not_run_but_ran: u64,
    /// Answers given to another request than their own.
    pub crossed: u64,
    /// Longest time after an upstream began to leave in which it got new work.
    pub leaving_ms: f64,
    /// Highest caller's share of the answers of its service in the surge, over its fair share.
    pub unfairness: f64,
    /// Messages about slots per second and entry.
    pub messages_per_s: f64,
}
