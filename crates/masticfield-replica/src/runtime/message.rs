//! What one replica sends to another over a connection.

use std::net::SocketAddr;

use masticfield_core::ids::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::consensus::Envelope;
use crate::{Identity, Membership};

/// A message over a connection; the first one is always [`PeerMessage::Hello`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// Who connects.
    Hello(Hello),
    /// A message of the replication.
    Replica(Envelope),
    /// The members of the group that all founders form.
    Found(Membership),
    /// The members of the group, for a replica that asks to be let in.
    Group(Membership),
}

/// Who connects and what it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Hello {
    /// The sender.
    pub(super) identity: Identity,
    /// Where the sender listens.
    pub(super) address: SocketAddr,
    /// The sender and its configured peers, in order.
    pub(super) founders: Vec<ReplicaId>,
    /// Whether the sender holds the log of a group.
    pub(super) formed: bool,
}
