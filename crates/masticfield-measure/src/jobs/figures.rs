//! What a day came to under one order of jobs.

use std::time::Duration;

use masticfield_emulator::Report;
use masticfield_jobs::schedule::JobOrder;
use serde::Serialize;

/// What a day came to under one order of jobs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct OrderFigures {
    /// The order.
    pub order: &'static str,
    /// Share of the credit owed that was earned.
    pub worth: f64,
    /// Jobs that callers sent.
    pub asked: u32,
    /// Jobs completed within their objective.
    pub on_time: u32,
    /// Jobs completed later.
    pub late: u32,
    /// Jobs that were not taken.
    pub refused: u32,
    /// Starts over the room of an executor.
    pub over_room: u32,
    /// Tasks that ran twice.
    pub run_twice: u32,
    /// Accepted jobs that did not end.
    pub lost: u32,
    /// Time of the leader's decisions for each start, in microseconds of the real clock.
    pub leader_us_per_task: f64,
}

/// The same day under the scheduler and its baselines.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// Under the scheduler.
    pub ours: OrderFigures,
    /// Under each baseline.
    pub baselines: Vec<OrderFigures>,
}

impl OrderFigures {
    /// Takes the figures of a report.
    pub fn new(order: JobOrder, report: &Report, decided: Duration) -> Self {
        Self {
            order: order.name(),
            worth: report.worth,
            asked: report.submitted,
            on_time: report.on_time,
            late: report.late,
            refused: report.refused,
            over_room: report.over_capacity,
            run_twice: report.duplicate_runs,
            lost: report.unfinished,
            leader_us_per_task: decided.as_secs_f64() * 1e6 / f64::from(report.starts.max(1)),
        }
    }
}

impl Figures {
    /// Whether more credit was earned than under each baseline.
    pub fn is_ahead(&self) -> bool {
        let mut baselines = self.baselines.iter();
        baselines.all(|baseline| baseline.worth < self.ours.worth)
    }
}
