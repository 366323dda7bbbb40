//! All masticfield programs in one process with stand-ins on loopback.
//!
//! The demo starts a control process, an entry for each availability zone of a sample fleet and
//! an executor for each host, applies the sample note, serves some seconds of load with a surge
//! in the middle, and prints a summary. It ends with a failure if a property was broken.
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
