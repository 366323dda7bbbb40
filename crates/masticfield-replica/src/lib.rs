//! Replicated log, election, storage and snapshots of masticfield.
//!
//! A [`ReplicaHandle`] proposes payloads and reports what is committed. The payloads are opaque
//! here; the control process gives them their meaning.
//!
//! # Examples
//!
//! ```no_run
//! use masticfield_core::ids::ReplicaId;
//! use masticfield_replica::{ReplicaHandle, ReplicaOptions};
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let options = ReplicaOptions::new(ReplicaId::new(1), "data");
//! let (replica, mut applied) = ReplicaHandle::open(options).await?;
//! let index = replica.propose(b"payload".to_vec()).await?;
//! let entry = applied.recv().await.expect("the replica runs");
//! assert_eq!(entry.index, index);
//! # Ok(())
//! # }
//! ```

pub mod consensus;
mod entry;
mod error;
mod handle;
mod identity;
pub mod keeper;
mod membership;
mod options;
mod runtime;
mod status;
pub mod storage;

pub use entry::{Entry, EntryBody, HardState, Snapshot, Stored, Write};
pub use error::{OpenError, ProposeError};
pub use handle::{MAX_PAYLOAD_BYTES, ReplicaHandle};
pub use identity::Identity;
pub use membership::Membership;
pub use options::ReplicaOptions;
pub use status::{Applied, AppliedKind, ReplicaStatus, Traffic};
