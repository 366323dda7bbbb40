//! Ownership of hosts by pools, fenced by generation.
//!
//! A pool owns a host at a generation. The host then drains, is released, and is owned by the
//! next pool at the next generation. It is released only after a proof that it holds no lease of
//! its generation: either the host reports it, or the leader has waited until every lease has
//! expired.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::fleet::Generation;
//! use masticfield_state::{HostStep, HostTable, Verdict};
//!
//! let mut hosts = HostTable::new();
//! let host = "host-1".into();
//! let own = HostStep::Own { pool: "counter".into(), generation: Generation::new(1) };
//! assert_eq!(hosts.step(0, &host, &own), Verdict::Done);
//! assert_eq!(hosts.step(0, &host, &own), Verdict::Repeated);
//! ```

mod host_record;
mod host_step;
mod host_table;

pub use host_record::{DrainProof, HostRecord};
pub use host_step::HostStep;
pub use host_table::HostTable;
