//! Agreement on the log, without sockets, clocks or files.
//!
//! [`Replica::step`] takes one event and returns what to do next: writes to make durable,
//! messages to send at once, and messages to send once the writes are durable. The same
//! function runs in the program, in the property tests and in the model.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::ids::{Incarnation, ReplicaId};
//! use masticfield_replica::consensus::{Event, Replica, Timing};
//! use masticfield_replica::{Identity, Membership, Stored};
//!
//! let me = Identity::new(ReplicaId::new(1), Incarnation::new(7));
//! let mut replica = Replica::new(me, Timing::default(), Stored::default());
//! let group = Membership::new([(me, "127.0.0.1:9000".parse()?)]);
//! replica.step(Duration::ZERO, Event::Found(group));
//! let next = replica.step(Duration::from_secs(2), Event::Tick { jitter: Duration::ZERO });
//! assert!(!next.writes.is_empty());
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod change;
mod election;
mod follower;
mod leader;
mod log;
mod message;
mod next;
mod progress;
mod replica;
mod role;
mod timing;
mod transfer;

pub use change::{Change, ChangeError};
pub use log::Log;
pub use message::{AppendResult, Envelope, Message, SnapshotPiece};
pub use next::{Appended, Event, Next};
pub use replica::Replica;
pub use timing::{Defect, Timing};
