//! Results of a simulation.

/// Results of a simulation.
///
/// Jobs with long-running tasks are not counted; they have no end.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// Descriptions of violated invariants, in order of time; empty if all held.
    pub violations: Vec<String>,
    /// Jobs that callers submitted.
    pub submitted: u32,
    /// Jobs completed within their objective.
    pub on_time: u32,
    /// Jobs completed after their objective.
    pub late: u32,
    /// Late jobs that took more than three times their objective; they earn no credit.
    pub too_late: u32,
    /// Jobs that the leader refused because its backlog was too long.
    pub refused: u32,
    /// Jobs that were cancelled or failed.
    pub cancelled_or_failed: u32,
    /// Jobs that failed and were not cancelled; included in `cancelled_or_failed`.
    pub failed: u32,
    /// Jobs that failed although none of their tasks crashes executors; included in `failed`.
    pub failed_without_fault: u32,
    /// Jobs with a task that crashes executors, as far as they were accepted and not cancelled.
    pub crashing_jobs: u32,
    /// Executors that a task has crashed.
    pub crashes_by_tasks: u32,
    /// Earned share of the total credit, from 0 to 1.
    ///
    /// The credit of a job grows with its work. A late job earns 7% of its credit up to three times
    /// its objective, and nothing after that. A cancelled job has no credit.
    pub worth: f64,
    /// Starts that took an executor above its capacity.
    pub over_capacity: u32,
    /// Starts of tasks that were already running or done and that allow no copies.
    pub duplicate_runs: u32,
    /// Accepted jobs that had not ended when the simulation ended.
    pub unfinished: u32,
    /// Runs that executors started.
    pub starts: u32,
    /// Polls of executors for their runs and ends.
    pub polls: u32,
    /// Hosts of the wave of upkeep that were left when its time was over.
    pub late_upkeeps: u32,
    /// Moves of hosts between pools.
    pub moves: u32,
    /// Requests about hosts beyond the number that the platform accepts.
    pub busy_orders: u32,
    /// Host time in pools other than standby until the end of the load, in seconds.
    pub host_seconds: f64,
    /// Events that the leader handled.
    pub events: u64,
}
