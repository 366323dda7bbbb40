//! Request path of masticfield between callers and upstreams.
//!
//! An entry process accepts callers' requests over HTTP and dispatches each to an executor of its
//! service. It learns of the executors from the announcements of upstreams, and serves only while
//! it holds a lease on the configuration. Its parts are plug-ins of the kernel in
//! [`masticfield_core::kernel`].
//!
//! # Examples
//!
//! ```no_run
//! use clap::Parser;
//! use masticfield_entry::{EntryArgs, RunningEntry};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = EntryArgs::parse().check()?;
//! let entry = RunningEntry::start(settings).await?;
//! entry.wait().await;
//! # Ok(())
//! # }
//! ```

mod args;
mod at_most_once;
mod callers;
mod control;
pub mod jobs;
mod metrics;
mod peers;
mod router;
mod running;
mod upstreams;

pub use args::{EntryArgs, EntrySettings};
pub use running::{RunningEntry, StartEntryError, main};
