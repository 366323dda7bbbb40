//! Identifiers and arena keys.
//!
//! Processes and requests have numeric identifiers, which are the same in every process. Entities
//! of the configuration are identified by name and stored in arenas under small `Copy` keys,
//! which are local to one process and never sent.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::ids::{EntryId, RequestId};
//!
//! let id = RequestId::new(EntryId::new(3), 7);
//! assert_eq!(id.entry(), EntryId::new(3));
//! assert_eq!(id.to_string().parse(), Ok(id));
//! ```

mod incarnation;
mod node;
mod request;

use slotmap::new_key_type;

pub use incarnation::Incarnation;
pub use node::{EntryId, ReplicaId};
pub use request::{ParseRequestIdError, RequestId};

new_key_type! {
    /// Key of a pool in an arena.
    pub struct PoolKey;
    /// Key of a host in an arena.
    pub struct HostKey;
    /// Key of a service in an arena.
    pub struct ServiceKey;
    /// Key of a job in an arena.
    pub struct JobKey;
    /// Key of an upstream in an arena.
    pub struct UpstreamKey;
    /// Key of a queued request in an arena.
    pub struct WaiterKey;
}
