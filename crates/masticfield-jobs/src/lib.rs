//! Job queues: their replicated state, and the decisions of the leading replica.
//!
//! The crate performs no I/O and reads neither a clock nor a source of randomness.
//!
//! - [`state::State`] is the replicated state. It changes only by [`state::Command`]s.
//! - [`leader::Leader`] runs on the leading replica. It turns events into commands to commit and
//!   effects to carry out after the commit.
//! - [`relay`] lets entries carry the leader's calls to executors.
//! - [`schedule`] holds the scheduling rules: job order, placement, pool sizes, admission and
//!   executor health.
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
pub mod relay;
pub mod schedule;
pub mod state;
