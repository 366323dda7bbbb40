//! Simulation of executors, hosts and callers around the job leader.
//!
//! A [`Simulation`] runs the leader's code unchanged on simulated time. It injects the faults of a
//! [`Scenario`], checks invariants at each step and counts how callers' jobs ended. Equal scenarios
//! and seeds give equal reports.
//!
//! # Examples
//!
//! ```
//! use masticfield_emulator::{Fleet, Scenario, Simulation};
//!
//! let scenario = Scenario::new(Fleet::small()).jobs_per_s(3.0).load_ms(3_000);
//! let report = Simulation::new(scenario, 7).run();
//! assert!(report.violations.is_empty(), "{:?}", report.violations);
//! ```

mod checker;
mod executor;
mod fleet;
mod host;
mod noted_ends;
mod report;
mod scenario;
mod simulation;

pub use fleet::{Fleet, QueueLoad};
pub use report::{QueueShare, Report, Shares};
pub use scenario::{CrashingLimits, Faults, LoadShape, RelayDefect, Scenario};
pub use simulation::Simulation;
