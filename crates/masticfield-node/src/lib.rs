//! The frame that every masticfield program shares.
//!
//! Settings common to all programs, structured logs, metrics, health, traces, bounded HTTP
//! servers and clients, operators' tokens, and the graceful end on a signal.
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
