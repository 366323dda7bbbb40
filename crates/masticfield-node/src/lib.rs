//! Runtime support shared by all masticfield programs.
//!
//! This crate provides common settings, structured logs, metrics, health endpoints, traces, HTTP
//! servers and clients with limits, operators' tokens, and graceful shutdown on a signal.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::settings::Checker;
//! use masticfield_node::args::NodeArgs;
//!
//! let args = NodeArgs::default();
//! let mut checker = Checker::new();
//! let settings = args.check(&mut checker);
//! assert!(checker.finish().is_ok() && settings.is_some());
//! ```

pub mod addresses;
pub mod admin;
pub mod args;
pub mod clock;
pub mod http;
pub mod log_setup;
pub mod log_writer;
pub mod program;
pub mod running;
pub mod signals;
pub mod token;
pub mod trace;
