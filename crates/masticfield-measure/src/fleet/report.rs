//! What a run came to.

use serde::Serialize;

/// The figures of one variant.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Hosts that the policy asks for beyond the need of pools, over time.
    pub buffer_hosts: f64,
    /// Hosts that are held beyond the need of pools, over time.
    pub buffer_held: f64,
    /// Least hosts that any policy needs, over time.
    pub buffer_lower_bound: f64,
    /// Seconds until each note was carried out; none for a note that was not.
    pub rollout_s: Vec<Option<u64>>,
    /// Hosts given to a pool after the first note was carried out.
    pub host_moves: usize,
    /// Tasks started again on another host.
    pub job_moves: usize,
    /// Least host moves that the story asks for.
    pub moves_lower_bound: usize,
    /// Planned stops that drew on a budget which did not cover them.
    pub budget_overdrawn: usize,
    /// Hosts given to a pool while the last owner's work ran on.
    #[serde(rename = "two_pools")]
    pub overlapping_owners: usize,
    /// Turns in which a task ran twice at once.
    pub doubled_tasks: usize,
    /// Hosts that were maintained.
    pub maintained: usize,
    /// Hosts at the end.
    pub hosts: usize,
    /// Tasks at the end that neither ran, nor had ended, nor were given up on with a reason.
    #[serde(rename = "stranded_jobs")]
    pub stranded_tasks: usize,
    /// Seconds from a note to the start of its urgent tasks, 99th percentile.
    pub urgent_start_p99_s: f64,
    /// Urgent tasks that started, and that there were.
    pub urgent_started: (usize, usize),
    /// Time of a turn of the control loop, 99th percentile, in milliseconds.
    pub plan_ms_p99: f64,
    /// Actions planned.
    pub actions: usize,
}
