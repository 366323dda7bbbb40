//! Facade of the masticfield library crates.
//!
//! It gives the types of the core and the decision code of each part under one name, for
//! programs and tools that embed them. The programs themselves are in `masticfield-programs`.
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
//! let now = FleetConfig::default();
//! let next = now.apply(&ReleaseNote::from_toml(text)?)?;
//! let preview = preview(&now, &next, &HostRecords::default());
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
