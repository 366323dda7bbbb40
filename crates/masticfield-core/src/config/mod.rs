//! The configuration that results from the accepted release notes.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::config::{FleetConfig, NoteError};
//! use masticfield_core::note::ReleaseNote;
//!
//! let note = ReleaseNote { number: 5, builds_on: 4, ..ReleaseNote::default() };
//! let refusal = FleetConfig::default().apply(&note);
//! assert!(matches!(refusal, Err(NoteError::StaleBase { in_force: 0, .. })));
//! ```

mod error;
mod fleet_config;
mod named;
mod validate;

pub use error::{NoteError, NoteProblem, SpecKind};
pub use fleet_config::FleetConfig;
