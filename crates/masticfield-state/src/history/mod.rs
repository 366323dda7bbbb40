//! What was done and why.
//!
//! # Examples
//!
//! ```
//! use masticfield_state::{State, Subject};
//!
//! let state = State::new();
//! assert!(state.explain(Subject::Host, "host-1").is_empty());
//! ```

mod log;
mod subject;
pub(crate) mod words;

pub use log::History;
pub use subject::{ParseSubjectError, Subject};
