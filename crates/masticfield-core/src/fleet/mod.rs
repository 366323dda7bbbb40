//! Input and output of the planner.
//!
//! An [`Observation`] is soft state, rebuilt from reports. An [`Action`] is carried out only after
//! it is committed to the replicated log. It is fenced by the generation of the host's ownership
//! and idempotent, so that carrying it out twice is harmless.
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
