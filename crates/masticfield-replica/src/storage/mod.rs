//! Storage of a replica in one data folder.
//!
//! The folder holds a lock, the identity, the segments of the log, and at most one snapshot.
//! Every record and file carries a checksum and the folder carries a format version. Many
//! writes become durable with one sync. A torn tail is cut when the folder is opened; damage
//! before the tail is refused.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::ids::ReplicaId;
//! use masticfield_replica::storage::Storage;
//! use masticfield_replica::{HardState, Write};
//!
//! let dir = tempfile::tempdir()?;
//! let (mut storage, stored) = Storage::open(dir.path(), ReplicaId::new(1))?;
//! assert_eq!(stored.hard_state.term, 0);
//! storage.write(&[Write::HardState(HardState { term: 2, vote: None })])?;
//! drop(storage);
//! let (_storage, stored) = Storage::open(dir.path(), ReplicaId::new(1))?;
//! assert_eq!(stored.hard_state.term, 2);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod file;
mod folder;
mod inspect;
mod record;
mod segment;

pub use file::SyncFn;
pub use folder::{FORMAT_VERSION, Storage};
pub use inspect::{Inspection, inspect};
