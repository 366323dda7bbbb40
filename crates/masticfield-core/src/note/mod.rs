//! Release notes, with which operators change the configuration.
//!
//! A note has a number, names the version that it builds on, and lists the objects that it adds,
//! changes and withdraws. It is written in TOML; unknown fields are refused with their line and
//! column.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::note::ReleaseNote;
//!
//! let text = r#"
//! number = 1
//! builds_on = 0
//! summary = "The first pool"
//!
//! [added]
//! pools = [{ name = "counter", hosts = 2 }]
//! "#;
//! let note = ReleaseNote::from_toml(text)?;
//! assert_eq!(note.added.pools[0].name.as_ref(), "counter");
//! # Ok::<(), masticfield_core::note::ParseNoteError>(())
//! ```

mod host;
mod job;
mod line_index;
mod maintenance;
mod parse_error;
mod pool;
mod position;
mod release_note;
mod service;
mod team;

pub use host::HostSpec;
pub use job::{JobPriority, JobSpec, Resources};
pub use line_index::LineIndex;
pub use maintenance::MaintenanceSpec;
pub use parse_error::ParseNoteError;
pub use pool::PoolSpec;
pub use position::Position;
pub use release_note::{Declared, ReleaseNote, Withdrawn};
pub use service::{Promise, ServiceSpec};
pub use team::TeamSpec;
