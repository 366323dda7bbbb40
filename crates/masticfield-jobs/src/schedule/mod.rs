//! Decisions on which task runs next, where, and what is refused.
//!
//! Each is a function of what is known; none keeps state.

mod admission;
mod lease;
mod place;
mod rank;

pub use admission::{Admission, Backlog, admit};
pub use lease::{ClockReading, lease_end};
pub use place::{Candidate, Wish, choose};
pub use rank::{Rank, on_time_ms, rank};
