//! A stand-in for callers.

mod args;
mod load;
mod report;

pub use args::{CallerArgs, main};
pub use load::{Load, Pace};
pub use report::LoadReport;
