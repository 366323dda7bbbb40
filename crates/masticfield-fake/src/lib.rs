//! Fake upstreams, platform and callers for tests, benchmarks and the demo.
//!
//! Each fake implements the peer's side of a public HTTP interface of masticfield. They can be
//! embedded in a program or run on their own as subcommands of `masticfield-fake`.
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
