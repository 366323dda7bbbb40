//! The steps of a plan, in the order of their importance.
//!
//! Failed hosts first, then what the note withdraws, then pools that lack hosts, then
//! maintenance and the reserve, and last the tasks of jobs. Each step adds to a [`Draft`], which bounds the number of
//! actions and counts what is planned so that later steps see it.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_fleet::plan::Planner;
//! use masticfield_fleet::sample;
//!
//! let planner = Planner::new();
//! assert!(!planner.plan(&sample::small().view(), Duration::ZERO).is_empty());
//! ```

pub mod describe;
mod draft;
mod failures;
mod first_fit;
mod maintenance;
mod moves;
mod planner;
mod withdrawals;

pub use draft::Draft;
pub use failures::LEASE_EXPIRY;
pub use planner::{Guards, MovePolicy, Planner, plan};
