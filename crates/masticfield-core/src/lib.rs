//! Types shared by every masticfield crate.
//!
//! This crate defines identifiers, release notes and the configuration they result in, outcomes
//! of requests, claims, slot grants, membership events, the operators' and the platform's HTTP
//! messages, the settings checker, the timer service and the kernel that starts plug-ins. It
//! opens no sockets or files. Every other crate depends on it, so its interface is kept stable.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::config::FleetConfig;
//! use masticfield_core::note::ReleaseNote;
//!
//! let note = ReleaseNote::from_toml("number = 1\nbuilds_on = 0\nsummary = \"first\"\n")?;
//! let cfg = FleetConfig::default().apply(&note)?;
//! assert_eq!(cfg.version(), 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod claim;
pub mod clock;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod kernel;
pub mod membership;
pub mod note;
pub mod operator;
pub mod outcome;
pub mod platform;
pub mod settings;
pub mod slot;
pub mod timer;
