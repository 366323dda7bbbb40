//! Index over a view: hosts and pools by compact key, with the counts that plans need.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_fleet::sample;
//! use masticfield_fleet::reserve::ReservePolicy;
//! use masticfield_fleet::index::FleetIndex;
//!
//! let fleet = sample::small();
//! let index = FleetIndex::new(&fleet.view(), Duration::ZERO, ReservePolicy::Shared);
//! assert_eq!(index.hosts().count(), 4);
//! ```

mod fleet_index;
mod host;
mod pool;

pub use fleet_index::FleetIndex;
pub use host::{Host, HostKey, OwnershipPhase};
pub use pool::{Pool, PoolKey};
