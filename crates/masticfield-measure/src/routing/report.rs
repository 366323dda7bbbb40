//! Results of one simulation.

use serde::Serialize;

/// Results of one simulation.
///
/// A wait is the time to the answer beyond the run time and the round trip within an
/// availability zone.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Run time of answered requests in the surges, as a share of the slot time available.
    pub goodput_of_capacity: f64,
    /// Smallest goodput of any surge, as a share of the slot time available.
    pub worst_goodput: f64,
    /// Median wait of answered requests that arrived in a surge.
    pub p50_wait_ms: f64,
    /// 99th percentile of the wait of answered requests that arrived in a surge.
    pub p99_wait_ms: f64,
    /// 99th percentile of the wait of answered requests that arrived outside the surge of their
    /// service, and not within one deadline after it.
    pub quiet_p99_wait_ms: f64,
    /// Requests that arrived.
    pub requests: u64,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests whose outcome is unknown.
    pub unknown: u64,
    /// Requests that were lost in the failure of their entry.
    pub lost_with_entry: u64,
    /// Requests without exactly one outcome, except those lost with their entry.
    pub not_one_outcome: u64,
    /// Refusals later than 50 ms after the arrival, or after the entry's last known loss of
    /// capacity if that is later.
    pub late_refusals: u64,
    /// Requests that reached an executor without a free slot under a policy that rules this out.
    pub over_slots: u64,
    /// Dispatches that an executor refused.
    pub refused_by_executor: u64,
    /// Starts of requests that are not idempotent and had already been started.
    #[serde(rename = "twice_run")]
    pub duplicate_runs: u64,
    /// Requests that were refused as not run although an executor had started them.
    pub not_run_but_ran: u64,
    /// Outcomes that a router accepted for a dispatch that was not in flight, as when a response
    /// is matched to the wrong request.
    pub crossed: u64,
    /// Longest time for which an upstream got new work after it started to leave.
    pub leaving_ms: f64,
    /// Largest ratio of a caller's answers in the surge of a service to an equal share of them.
    pub unfairness: f64,
    /// Slot messages sent per second and entry.
    pub messages_per_s: f64,
}
