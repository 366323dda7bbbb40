//! Failed attempts of a task.

/// Failed attempts of a task, or of its gang, and their limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempts {
    /// Number of runs that failed.
    pub failures: u32,
    /// Number of failed runs with which the job fails.
    pub limit: u32,
    /// Whether the job's queue has a configuration; without one there is no limit.
    pub is_configured: bool,
}
