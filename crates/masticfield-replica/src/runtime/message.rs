//! Messages on the connections between replicas.

use std::net::SocketAddr;

use masticfield_core::ids::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::consensus::Envelope;
use crate::{Identity, Membership};

/// Message on a connection; the first one is always [`PeerMessage::Hello`].
///
/// The encoding is positional: the order of variants and fields is part of the protocol.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum PeerMessage {
    /// Introduces the sender; repeated while the sender knows no leader.
    Hello(Hello),
    /// A message of the consensus.
    Consensus(Envelope),
    /// Members of the new group on which all initial members agree.
    Bootstrap(Membership),
    /// Current members of the group, for a replica that asks to join it.
    Members(Membership),
}

/// Introduction of a replica to its peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Hello {
    /// Identity of the sender.
    pub(super) identity: Identity,
    /// Address on which the sender listens to its peers.
    pub(super) address: SocketAddr,
    /// The sender and its configured peers, in ascending order; empty if it must not form a group.
    pub(super) initial_members: Vec<ReplicaId>,
    /// Whether the sender holds state of a group.
    pub(super) has_state: bool,
}
