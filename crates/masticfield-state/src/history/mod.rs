//! Log of state changes with their reasons, for operators.
//!
//! # Examples
//!
//! ```
//! use masticfield_state::{State, Subject};
//!
//! let state = State::new();
//! assert!(state.explain(Subject::Host, "host-1").is_empty());
//! ```

pub(crate) mod describe;
mod log;
mod subject;

pub use log::History;
pub use subject::{ParseSubjectError, Subject};
