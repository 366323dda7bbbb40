//! Messages between entries and the leading replica.
//!
//! Messages travel in batches over a connection that the entry opens. A connection belongs to one
//! leadership: the replica closes it when it stops leading, so that no request that was sent under
//! one leadership is carried out under a later one.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::leader::{Announcement, BriefAnnouncement, Departure, JobRequest, Reply};
use crate::queue::RequestLimits;
use crate::relay::{CallResult, RelayOffer, RelayedCall};

/// A message from an entry to the leading replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Opens the connection.
    Hello {
        /// Random number that identifies the process of the entry. A new connection replaces the
        /// earlier one of the same process.
        process: u64,
        /// Monotonic clock of the entry, for [`ToEntry::Clock`].
        sent: Duration,
        /// How the entry relays calls to executors; `None` if it does not.
        relay: Option<RelayOffer>,
    },
    /// Passes on a request that the leader replies to.
    Request {
        /// Sequence number of the request; rises on a connection.
        number: u64,
        /// The request.
        request: EntryRequest,
    },
    /// Passes on an announcement that repeats a confirmed one; needs no reply.
    AnnouncedAgain(BriefAnnouncement),
    /// Returns the result of a relayed call.
    CallResult {
        /// Number of the call.
        number: u64,
        /// What the executor answered.
        result: CallResult,
    },
    /// Keeps an idle connection alive, and asks for the leader's clock.
    Heartbeat {
        /// Monotonic clock of the entry, for [`ToEntry::Clock`].
        sent: Duration,
    },
}

/// A request that an entry passes on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum EntryRequest {
    /// A request of a caller.
    Job(JobRequest),
    /// An executor announces itself.
    Announce(Announcement),
    /// An executor reports that it is about to end.
    Leave(Departure),
}

/// A message from a replica to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The leader and the members of the replica group. Sent first, and by the leader again
    /// whenever the members change.
    Group {
        /// Whether this replica leads and answers requests.
        leads: bool,
        /// Address of the leading replica, if known.
        leader: Option<SocketAddr>,
        /// Addresses of all replicas.
        members: Vec<SocketAddr>,
    },
    /// Limits of callers' requests; `None` until a configuration that sets them is in force.
    Limits(Option<RequestLimits>),
    /// Answers a request.
    Reply {
        /// Sequence number of the request.
        number: u64,
        /// The reply.
        reply: Reply,
    },
    /// A call to an executor, to be relayed.
    Call(RelayedCall),
    /// Answers a message that contains the entry's clock.
    Clock {
        /// The entry's clock in that message.
        sent: Duration,
        /// Monotonic clock of the replica.
        stamp: Duration,
    },
    /// Keeps an idle connection alive.
    Heartbeat,
}
