//! Consensus on the log as a pure state machine, without sockets, clocks or files.
//!
//! The protocol is Raft with pre-vote, check-quorum, leader leases, learners and changes of one
//! member at a time. [`Replica::step`] takes one event and returns writes to make durable,
//! messages to send at once, and messages to send after the writes are durable. The running
//! replica, the property tests and the model checker all use this function.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::ids::{Incarnation, ReplicaId};
//! use masticfield_replica::consensus::{Event, Replica, Timing};
//! use masticfield_replica::{Identity, Membership, PersistentState};
//!
//! let identity = Identity::new(ReplicaId::new(1), Incarnation::new(7));
//! let mut replica = Replica::new(identity, Timing::default(), PersistentState::default());
//! let group = Membership::new([(identity, "127.0.0.1:9000".parse()?)]);
//! replica.step(Duration::ZERO, Event::Bootstrap(group));
//! let output = replica.step(Duration::from_secs(2), Event::Tick { jitter: Duration::ZERO });
//! assert!(!output.writes.is_empty());
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod election;
mod follower;
mod full_disk;
mod leader;
mod log;
mod membership_change;
mod message;
mod progress;
mod replica;
mod role;
mod snapshot_transfer;
mod step;
mod timing;

pub use log::Log;
pub use membership_change::{MembershipChange, MembershipChangeError};
pub use message::{AppendResult, Envelope, Message, SnapshotChunk};
pub use replica::Replica;
pub use step::{Appended, Event, Output};
pub use timing::{Defect, Timing};
