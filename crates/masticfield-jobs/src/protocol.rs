//! Messages between entries and the leading replica.
//!
//! Messages travel in batches over a connection that the entry opens. A connection belongs to one
//! leadership: the replica closes it when it stops leading, so that no request that was sent under
//! one leadership is carried out under a later one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::leader::{JobRequest, Reply};
use crate::queue::RequestLimits;

/// A message from an entry to the leading replica.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Opens the connection.
    Hello {
        /// Random number that identifies the process of the entry. A new connection replaces the
        /// earlier one of the same process.
        process: u64,
    },
    /// Passes on a request of a caller.
    Request {
        /// Sequence number of the request; rises on a connection.
        number: u64,
        /// The caller's request.
        request: JobRequest,
    },
    /// Keeps an idle connection alive.
    Heartbeat,
}

/// A message from a replica to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// The leader and the members of the replica group. Sent first, and again on each change.
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
        /// The reply to the caller.
        reply: Reply,
    },
    /// Keeps an idle connection alive.
    Heartbeat,
}
