//! What the planner sees and what it decides.
//!
//! An [`Observation`] is soft: it is rebuilt from reports. An [`Action`] is carried out only
//! after it is committed to the replicated log; it is fenced by the generation of the host's
//! ownership and idempotent, so that it may be carried out twice.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::fleet::Generation;
//! use masticfield_core::fleet::Ownership;
//!
//! let ownership = Ownership::Owned { pool: "counter".into(), generation: Generation::new(1) };
//! assert_eq!(ownership.pool().map(|pool| pool.as_ref()), Some("counter"));
//! ```

mod action;
mod observation;
mod ownership;

pub use action::{Action, Planned, Reason};
pub use observation::{HostHealth, HostObservation, Observation, TaskObservation, TaskPhase};
pub use ownership::{Generation, Ownership};
