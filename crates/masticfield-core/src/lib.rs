//! Types shared by every masticfield crate.
//!
//! The core holds what the parts agree on: identifiers, the release note and the configuration
//! that follows from it, the outcome of a request, claims, slot grants, membership events, the
//! settings checker, the timer service and the kernel that starts plug-ins. It opens no socket
//! and no file. Every other crate builds on it, so it changes seldom.
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
