//! Results of the job orders on the same scenario.

use std::time::Duration;

use masticfield_emulator::Report;
use masticfield_jobs::schedule::JobOrder;
use serde::Serialize;

/// Results of one job order.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrderReport {
    /// Name of the order, as [`JobOrder::name`] returns it.
    pub order: &'static str,
    /// Credit earned, as a share of the credit that was possible.
    #[serde(rename = "worth")]
    pub earned_credit: f64,
    /// Jobs that callers submitted.
    #[serde(rename = "asked")]
    pub submitted: u32,
    /// Jobs completed within their objective.
    pub on_time: u32,
    /// Jobs completed after their objective.
    pub late: u32,
    /// Jobs that were not accepted.
    pub refused: u32,
    /// Tasks started beyond the capacity of their executor.
    #[serde(rename = "over_room")]
    pub over_capacity: u32,
    /// Tasks that ran twice.
    #[serde(rename = "run_twice")]
    pub duplicate_runs: u32,
    /// Accepted jobs that did not end.
    #[serde(rename = "lost")]
    pub unfinished: u32,
    /// Real time that the leader spent on decisions per task start, in microseconds.
    pub leader_us_per_task: f64,
}

/// Results of the scheduler and its baselines on the same scenario.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Comparison {
    /// Results of the scheduler's own order.
    pub ours: OrderReport,
    /// Results of each baseline.
    pub baselines: Vec<OrderReport>,
}

impl OrderReport {
    /// Creates the results of an order from the emulator's report.
    ///
    /// `decision_time` is the real time that the leader spent on decisions during the run.
    pub fn new(order: JobOrder, report: &Report, decision_time: Duration) -> Self {
        Self {
            order: order.name(),
            earned_credit: report.worth,
            submitted: report.submitted,
            on_time: report.on_time,
            late: report.late,
            refused: report.refused,
            over_capacity: report.over_capacity,
            duplicate_runs: report.duplicate_runs,
            unfinished: report.unfinished,
            leader_us_per_task: decision_time.as_secs_f64() * 1e6 / f64::from(report.starts.max(1)),
        }
    }
}

impl Comparison {
    /// Whether the scheduler earned more credit than every baseline.
    pub fn is_ahead_of_baselines(&self) -> bool {
        let mut baselines = self.baselines.iter();
        baselines.all(|baseline| baseline.earned_credit < self.ours.earned_credit)
    }
}
