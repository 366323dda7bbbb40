//! Randomized fault soak: runs masticfield's programs as processes and injects faults from outside.
//!
//! The programs are real; callers, executors and operators are stand-ins in this process. A plan of
//! faults is drawn from a seed, so that it can be listed and played again. What the stand-ins
//! observe goes to a [`checker`], which knows what the programs promise.

pub mod args;
pub mod checker;
mod error;
pub mod faults;
mod links;
mod programs;
mod recorder;
pub mod soak;
mod stand_ins;

pub use error::SoakError;
