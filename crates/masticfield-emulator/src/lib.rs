//! A model of executors, hosts and callers on simulated time.
//!
//! The leader's decisions run in it unchanged. It checks what must hold at any moment and counts
//! what callers got. The same seed gives the same day.
//!
//! # Examples
//!
//! ```
//! use masticfield_emulator::{Day, Fleet, World};
//!
//! let day = Day::calm(Fleet::small()).jobs_per_s(3.0).length_ms(3_000);
//! let report = World::new(day, 7).play();
//! assert!(report.broken.is_empty(), "{:?}", report.broken);
//! ```

mod day;
mod executor;
mod host;
mod ledger;
mod load;
mod report;
mod world;

pub use day::{Day, Faults};
pub use load::{Fleet, QueueLoad};
pub use report::Report;
pub use world::World;
