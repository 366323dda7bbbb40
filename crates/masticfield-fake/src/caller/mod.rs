//! A stand-in for callers.

mod args;
mod load;
mod report;

pub use args::{CallerArgs, main};
pub use load::{LoadGenerator, Pace};
pub use report::LoadReport;
