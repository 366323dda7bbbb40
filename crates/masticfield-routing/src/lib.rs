//! Request routing of masticfield: admission, slot sharing, retries and membership.
//!
//! The crate performs no I/O and reads no clock, so that tests can run it on a virtual clock and
//! replay every decision from a seed. The entry process passes the time in, carries out the
//! returned actions and reports their results.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::ids::{EntryId, Incarnation};
//! use masticfield_routing::options::RouterOptions;
//! use masticfield_routing::request::{Admission, Request};
//! use masticfield_routing::router::{Router, RouterIdentity};
//!
//! let identity = RouterIdentity {
//!     entry: EntryId::new(1),
//!     incarnation: Incarnation::new(1),
//!     zone: "zone-a".into(),
//! };
//! let mut router = Router::new(identity, RouterOptions::default(), 7);
//! let req = Request {
//!     service: "fabric-cutting".into(),
//!     caller: "salon-1".into(),
//!     zone: None,
//!     deadline: None,
//!     idempotent: true,
//! };
//! let admission = router.admit(Duration::ZERO, req);
//! assert!(matches!(admission, Admission::Refuse(_)), "the service is not configured");
//! ```

pub mod at_most_once;
pub mod budget;
pub mod counters;
pub mod guards;
pub mod health;
pub mod membership;
pub mod options;
pub mod queue;
pub mod request;
pub mod router;
pub mod shares;
pub mod slots;
