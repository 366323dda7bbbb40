//! Results of one simulation.

use serde::Serialize;

/// Results of one planner variant.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Buffer hosts that the reserve policy requests beyond the need of the pools, mean over time.
    pub buffer_hosts: f64,
    /// Buffer hosts held beyond the need of the pools, mean over time.
    pub buffer_held: f64,
    /// Buffer hosts that any policy needs at least, mean over time.
    pub buffer_lower_bound: f64,
    /// Seconds until each release note was rolled out; `None` if it was not.
    pub rollout_s: Vec<Option<u64>>,
    /// Hosts assigned to a pool after the roll-out of the first release note.
    pub host_moves: usize,
    /// Task starts after the first attempt.
    pub job_moves: usize,
    /// Host moves that the scenario requires at least.
    pub moves_lower_bound: usize,
    /// Planned outages that the remaining availability budget did not cover.
    pub budget_overdrawn: usize,
    /// Hosts assigned to a pool while work of their previous owner was still running.
    #[serde(rename = "two_pools")]
    pub overlapping_owners: usize,
    /// Simulation steps in which a task ran twice at the same time.
    pub doubled_tasks: usize,
    /// Hosts that were maintained at least once.
    pub maintained: usize,
    /// Hosts in the configuration at the end.
    pub hosts: usize,
    /// Tasks that at the end are neither running nor finished, and whose job is not stopped.
    #[serde(rename = "stranded_jobs")]
    pub stranded_tasks: usize,
    /// Time from a release note to the start of its urgent tasks, 99th percentile, in seconds.
    pub urgent_start_p99_s: f64,
    /// Number of urgent tasks that started, and of all urgent tasks.
    pub urgent_started: (usize, usize),
    /// Real time of one step of the control loop, 99th percentile, in milliseconds.
    pub plan_ms_p99: f64,
    /// Number of planned actions.
    pub actions: usize,
}
