//! Failed attempts of a task.

/// Failed attempts of a task, or of its gang, and their limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of failed runs with which the job fails.
    pub limit: u32,
    /// Whether the limit is of the job's queue, not the one for queues without a configuration.
    pub is_configured: bool,
}
