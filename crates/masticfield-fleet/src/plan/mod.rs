//! Planning steps, in order of importance.
//!
//! Failed hosts come first, then withdrawn hosts and pools, pools that are short of hosts,
//! maintenance, the reserve, and finally the tasks of jobs. Each step adds actions to a [`Draft`],
//! which bounds their number and accounts for them so that later steps see their effect.
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
