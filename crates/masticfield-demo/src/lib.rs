//! Demo of masticfield: all programs in one process, on loopback.
//!
//! The demo starts a fake platform with the hosts of a sample fleet, a control process, an entry
//! for each availability zone, and fake executors on the hosts. It applies the release note of
//! the sample, sends requests to all services for a few seconds, with five times the load on the
//! first one, and prints a summary. It fails if the summary lists a violation.
//!
//! # Examples
//!
//! ```
//! use masticfield_demo::SampleFleet;
//!
//! assert_eq!(SampleFleet::Vulpescu.note().added.services.len(), 5);
//! ```

mod args;
mod fleet;
mod load;
mod run;
mod sample_fleet;
mod summary;

pub use args::{DemoArgs, DemoSettings};
pub use run::{DemoError, main};
pub use sample_fleet::SampleFleet;
pub use summary::{Summary, Violation};
