//! Durations of operations on the fake platform.

use std::time::Duration;

/// Durations of the operations of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// Time from a drain order until the executors of the host have left.
    pub drain: Duration,
    /// Time from a reboot order until the worker is up again.
    pub reboot: Duration,
    /// Time from a start order until the task runs.
    pub start: Duration,
    /// Time from a checkpoint order until the task has ended.
    pub checkpoint: Duration,
    /// Interval at which the reported usage of tasks is updated.
    pub usage_interval: Duration,
    /// Time from the failure of a worker until the platform reports it as failed; until then it is
    /// reported as suspect.
    pub failure_detection: Duration,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(30),
            reboot: Duration::from_mins(10),
            start: Duration::from_secs(1),
            checkpoint: Duration::from_secs(2),
            usage_interval: Duration::from_secs(15),
            failure_detection: Duration::from_secs(5),
        }
    }
}
