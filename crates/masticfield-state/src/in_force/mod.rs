//! When a configuration is in force everywhere.
//!
//! An entry serves only under a lease, and the leader knows when each lease ends at the latest.
//! A version is in force once every entry has acknowledged it, or holds no lease on an earlier
//! one any more. The leader's side is the [`LeaseGranter`], the entry's side the
//! [`LeaseHolder`]; neither reads a clock. Moments are durations since any fixed moment of the
//! process's own monotonic clock; the clocks of two processes are never compared.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::ids::{EntryId, Incarnation};
//! use masticfield_state::in_force::{GranterEvent, GranterAction, LeaseGranter, LeaseTiming};
//!
//! let now = Duration::from_secs(100);
//! let entry = EntryId::new(1);
//! let incarnation = Incarnation::new(1);
//! let mut granter = LeaseGranter::new(now, LeaseTiming::default(), 7, [(entry, incarnation)]);
//! granter.step(now, GranterEvent::LeadershipLease { until: now + Duration::from_secs(1) });
//! let renew = GranterEvent::Renew { entry, incarnation, sequence: 1, version: 7 };
//! let next = granter.step(now, renew);
//! assert!(next.contains(&GranterAction::InForce { version: 7 }));
//! ```

mod granter;
mod holder;
mod lease_timing;

pub use granter::{EntryProgress, GranterAction, GranterEvent, LeaseGranter};
pub use holder::{HolderAction, HolderEvent, LeaseHolder};
pub use lease_timing::LeaseTiming;
