//! A model of executors, hosts and callers on simulated time.
//!
//! The leader's decisions run in it unchanged. It checks what must hold at any moment and counts
//! what callers got. The same seed gives the same day.
//!
//! # Examples
//!
//! ```
//! use masticfield_emulator::{Scenario, Fleet, Simulation};
//!
//! let day = Scenario::new(Fleet::small()).jobs_per_s(3.0).load_ms(3_000);
//! let report = Simulation::new(day, 7).run();
//! assert!(report.violations.is_empty(), "{:?}", report.violations);
//! ```

mod executor;
mod fleet;
mod host;
mod ledger;
mod report;
mod scenario;
mod simulation;

pub use fleet::{Fleet, QueueLoad};
pub use report::Report;
pub use scenario::{Faults, Scenario};
pub use simulation::Simulation;
