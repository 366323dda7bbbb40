//! Which pool owns each host, by generation.
//!
//! A host is owned by a pool at a generation, drains, is released, and is owned by the next
//! pool at the next generation. It is released only on its own word that no lease of the
//! generation is left on it, or once the leader has waited out every lease.
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

mod record;
mod step;
mod table;

pub use record::{DrainProof, HostRecord};
pub use step::HostStep;
pub use table::HostTable;
