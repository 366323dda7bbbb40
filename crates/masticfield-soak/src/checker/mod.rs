//! Checks what callers, executors and operators observe against what the programs promise.
//!
//! The checker has no clock and does no I/O, so that tests can feed it histories.

mod bounds;
#[expect(clippy::module_inception, reason = "the file has the type's name")]
mod checker;
mod configs;
mod job_view;
mod observation;
mod task_view;
mod violation;

pub use bounds::Bounds;
pub use checker::{Checker, Counts};
pub use observation::{ExecutorNumber, Observation, SubmitAnswer};
pub use violation::{Promise, Violation};
