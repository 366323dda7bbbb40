//! Where each task of a job is placed.
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
mod table;

pub use placement::{Placement, PlacementState, TaskEnd, TaskKey};
pub use table::TaskTable;
