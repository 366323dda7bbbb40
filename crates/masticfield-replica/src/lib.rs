//! Replicated log of masticfield: consensus, durable storage, snapshots and membership.
//!
//! A [`ReplicaHandle`] proposes payloads to the group and delivers the committed ones in the same
//! order on every replica. Payloads are opaque bytes; the control process defines their meaning.
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
//! let entry = applied.recv().await.expect("the replica is running");
//! assert_eq!(entry.index, index);
//! # Ok(())
//! # }
//! ```

pub mod consensus;
mod entry;
mod error;
mod handle;
mod identity;
mod membership;
mod options;
pub mod reconciler;
mod runtime;
mod status;
pub mod storage;

pub use entry::{Entry, EntryBody, HardState, PersistentState, Snapshot, Write};
pub use error::{OpenError, ProposeError};
pub use handle::{MAX_PAYLOAD_BYTES, ReplicaHandle};
pub use identity::Identity;
pub use membership::Membership;
pub use options::ReplicaOptions;
pub use status::{Applied, AppliedKind, ReplicaStatus, Traffic};
