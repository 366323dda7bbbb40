//! Control process of masticfield: durable state, planning and job scheduling.
//!
//! A control process holds a replica of the durable state. The leader among the replicas grants
//! entries their configuration and leases, decides claims of idempotency keys, plans the fleet and
//! serves operators. Each of these parts is a plug-in of the kernel.
//!
//! The module [`jobs`] is independent of that process: it schedules jobs on a replica of its own
//! and is used by programs that provide the connections to executors.
//!
//! # Examples
//!
//! ```no_run
//! use clap::Parser;
//! use masticfield_control::{ControlArgs, RunningControl};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let settings = ControlArgs::parse().check()?;
//! let control = RunningControl::start(settings).await?;
//! control.wait().await;
//! # Ok(())
//! # }
//! ```

mod actor;
mod args;
mod entries;
pub mod jobs;
mod metrics;
mod operator;
mod planner;
mod running;

pub use actor::{ControlHandle, ProposalError};
pub use args::{ControlArgs, ControlSettings};
pub use running::{RunningControl, main};
