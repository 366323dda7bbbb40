//! Fake callers: a load generator and the report of its results.

mod args;
mod load;
mod report;

pub use args::{CallerArgs, main};
pub use load::{LoadGenerator, Pace};
pub use report::LoadReport;
