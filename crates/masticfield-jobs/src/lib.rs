//! Jobs, their runs on executors, and where to place them.
//!
//! Nothing here has a socket, a clock or a random source. [`state::State`] is the replicated
//! state; it changes by [`state::Command`] only. [`leader::Leader`] is what the leading replica
//! does with it: it takes events and returns commands to commit and what to do after that.
//!
//! # Examples
//!
//! ```
//! use masticfield_jobs::job::{JobId, TaskId};
//!
//! let task = TaskId::new(JobId::new(0x5c0e_7a21_d94b_36f8), 0, 1, 17);
//! assert_eq!(task.to_string().parse(), Ok(task));
//! ```

pub mod job;
pub mod leader;
pub mod protocol;
pub mod queue;
pub mod schedule;
pub mod state;
