//! Durable storage of a replica in a data folder.
//!
//! The folder holds a lock file, the identity of the replica, the segments of the log and at most
//! one snapshot. Every record and file carries a checksum, and the identity file states the version
//! of the format. A batch of writes becomes durable with one sync. Opening the folder truncates an
//! incomplete record at the end of the log; any earlier damage is an error.
//!
//! A write that fails for lack of space leaves the folder usable: [`Storage::recover`] removes what
//! was partly written and reads the state back.
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

mod atomic_file;
mod file_ops;
mod folder;
mod inspect;
mod record;
mod segment;

pub use file_ops::{FileOps, SyncFn, WriteFn, is_lack_of_space};
pub use folder::{FORMAT_VERSION, Storage, StorageSize};
pub use inspect::{Inspection, inspect};
