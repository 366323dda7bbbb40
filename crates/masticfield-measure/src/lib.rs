//! Experiments that measure masticfield.
//!
//! Each experiment registers itself with [`inventory::submit!`] and becomes a subcommand of
//! `masticfield-measure`. With `--json`, the last line of the output is a single JSON object.
//!
//! # Examples
//!
//! ```
//! use masticfield_measure::fleet_name::FleetName;
//!
//! assert_eq!(FleetName::Vitoria.config().services().len(), 5);
//! ```

pub mod capacity;
pub mod claims;
pub mod experiment;
pub mod fleet;
pub mod fleet_name;
pub mod jobs;
mod loopback;
pub mod path;
pub mod routing;
pub mod state;
