//! Core types and decision logic of masticfield, for embedding in other programs.
//!
//! This crate re-exports the modules of `masticfield-core`, and the library crates that decide
//! without I/O as [`planner`], [`replica`], [`routing`], [`state`] and [`wire`]. The binaries are
//! in `masticfield-programs`.
//!
//! # Examples
//!
//! ```
//! use masticfield::config::FleetConfig;
//! use masticfield::note::ReleaseNote;
//! use masticfield::planner::preview;
//! use masticfield::planner::view::HostRecords;
//!
//! let text = "number = 1\nbuilds_on = 0\n[added]\npools = [{ name = \"counter\", hosts = 2 }]\n";
//! let current = FleetConfig::default();
//! let next = current.apply(&ReleaseNote::from_toml(text)?)?;
//! let preview = preview(&current, &next, &HostRecords::default());
//! assert_eq!(preview.number, 1);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub use masticfield_core::{
    claim, config, fleet, ids, kernel, membership, note, operator, outcome, platform, settings,
    slot, timer,
};
pub use {
    masticfield_fleet as planner, masticfield_replica as replica, masticfield_routing as routing,
    masticfield_state as state, masticfield_wire as wire,
};
