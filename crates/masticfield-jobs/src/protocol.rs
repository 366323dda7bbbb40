//! What entries and the leading replica say to each other.
//!
//! Messages travel in batches over one connection, which an entry opens. A connection belongs
//! to one leadership: the replica closes it when it no longer leads, so that nothing that was
//! sent under it can be carried out under a later one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::leader::{JobRequest, Reply};
use crate::queue::RequestLimits;

/// A message of an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FromEntry {
    /// Opens the connection.
    Hello {
        /// Number that the entry's process drew at its start.
        process: u64,
    },
    /// Asks for something; numbers rise on a connection.
    Request {
        /// Number of the question.
        number: u64,
        /// What is asked.
        request: JobRequest,
    },
    /// Shows that the connection works.
    Heartbeat,
}

/// A message to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ToEntry {
    /// Who leads and who belongs to the group; the first message, and repeated on a change.
    Group {
        /// Whether this replica leads and answers.
        leads: bool,
        /// Address of the leading replica, if it is known.
        leader: Option<SocketAddr>,
        /// Addresses of the replicas.
        members: Vec<SocketAddr>,
    },
    /// Bounds of what callers send, once a configuration is in force.
    Limits(Option<RequestLimits>),
    /// Answers a question.
    Reply {
        /// Number of the question.
        number: u64,
        /// The answer.
        reply: Reply,
    },
    /// Shows that the connection works.
    Heartbeat,
}
