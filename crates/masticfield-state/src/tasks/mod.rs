//! Placement of job tasks on hosts.
//!
//! # Examples
//!
//! ```
//! use masticfield_state::State;
//!
//! let state = State::new();
//! assert_eq!(state.tasks().held().count(), 0);
//! ```

mod placement;
mod task_table;

pub use placement::{Placement, PlacementState, TaskEnd, TaskKey};
pub use task_table::TaskTable;
