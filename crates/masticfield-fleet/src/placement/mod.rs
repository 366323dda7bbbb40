//! Where tasks of jobs run.
//!
//! Tasks are placed by their learnt size where they fit, within the quotas of their teams,
//! highest priority first. Urgent work makes lower work checkpoint if nothing else helps.
//!
//! # Examples
//!
//! ```
//! use masticfield_fleet::placement::LearnedEstimates;
//!
//! assert!(LearnedEstimates::default().size("nightly").is_none());
//! ```

mod attribution;
mod failure_history;
mod learned_estimates;
mod load;
mod relief;
mod start;

pub use failure_history::FailureHistory;
pub use learned_estimates::LearnedEstimates;
pub use load::{LiveTask, Load, TaskStatus};

use crate::plan::Draft;

/// Plans for the tasks of all jobs.
pub fn plan(draft: &mut Draft<'_>) {
    let mut load = Load::new(draft.index(), draft.guards().task_lease);
    attribution::plan(draft, &mut load);
    relief::end_unwanted(draft, &mut load);
    relief::leave_draining(draft, &mut load);
    relief::relieve(draft, &mut load);
    start::plan(draft, &mut load);
}
