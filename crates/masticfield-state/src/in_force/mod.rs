//! Configuration leases, which determine when a configuration version is in force everywhere.
//!
//! An entry serves only while it holds a lease, and the leader knows an upper bound for the
//! expiry of each lease. A version is in force once every entry has either acknowledged it or
//! lost its lease on an earlier version. [`LeaseGranter`] implements the leader's side and
//! [`LeaseHolder`] the entry's side; neither reads a clock. Points in time are durations since an
//! arbitrary origin of the local monotonic clock and are never compared between processes.
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

mod lease_granter;
mod lease_holder;
mod lease_timing;

pub use lease_granter::{EntryProgress, GranterAction, GranterEvent, LeaseGranter};
pub use lease_holder::{HolderAction, HolderEvent, LeaseHolder};
pub use lease_timing::LeaseTiming;
