//! How long things take on the platform.

use std::time::Duration;

/// Durations of what workers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timings {
    /// From an order to drain until no executor is left.
    pub drain: Duration,
    /// From an order to reboot until the worker reports again.
    pub reboot: Duration,
    /// From an order to start a task until it runs.
    pub start: Duration,
    /// From an order to checkpoint a task until it has ended.
    pub checkpoint: Duration,
    /// Interval at which usage is measured.
    pub usage_interval: Duration,
    /// From the end of a worker until the platform reports it as failed.
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
