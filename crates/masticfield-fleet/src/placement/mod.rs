//! Placement of job tasks on hosts.
//!
//! Tasks are placed by their learned size on hosts with enough free capacity, within the quota
//! of their team, highest priority first. Urgent tasks preempt tasks of lower priority, which
//! save a checkpoint, if no host has room otherwise.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::placement::LearnedEstimates;
//!
//! assert!(LearnedEstimates::default().size("nightly").is_none());
//! ```

mod eviction;
mod failure_history;
mod fault_attribution;
mod learned_estimates;
mod load;
mod start;

pub use failure_history::FailureHistory;
pub use learned_estimates::LearnedEstimates;
pub use load::{LiveTask, Load, TaskStatus};

use crate::plan::Draft;

/// Plans quarantines, evictions and starts for the tasks of all jobs.
pub fn plan(draft: &mut Draft<'_>) {
    let mut load = Load::new(draft.index(), draft.guards().task_lease);
    fault_attribution::plan(draft, &mut load);
    eviction::stop_unwanted(draft, &mut load);
    eviction::evacuate_draining(draft, &mut load);
    eviction::relieve_overcommitted(draft, &mut load);
    start::plan(draft, &mut load);
}
