//! Durable state and planning process of masticfield.
//!
//! A control process holds a replica of the durable state, gives entries their configuration
//! and leases, decides claims, and answers operators. Its parts are plug-ins of the kernel.
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
