//! Stand-ins for upstreams, the platform and callers.
//!
//! They speak the published faces of masticfield over loopback, for tests and try-outs.
//!
//! # Examples
//!
//! ```
//! use masticfield_fake::upstream::UpstreamOptions;
//!
//! let options = UpstreamOptions::new("cutter-1", "fabric-cutting").slots(4);
//! assert_eq!(options.announced_slots(), 4);
//! ```

pub mod caller;
pub mod platform;
mod program;
pub mod upstream;

pub use program::main;
