//! Members of a group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use masticfield_core::ids::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::Identity;

/// Voters and learners of a group with their addresses.
///
/// Learners receive the log, but do not count towards a quorum.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    voters: BTreeMap<Identity, SocketAddr>,
    learners: BTreeMap<Identity, SocketAddr>,
}

impl Membership {
    /// Maximum number of voters in a group.
    pub const MAX_VOTERS: usize = 7;

    /// Creates a membership that has only voters.
    pub fn new(voters: impl IntoIterator<Item = (Identity, SocketAddr)>) -> Self {
        Self {
            voters: voters.into_iter().collect(),
            learners: BTreeMap::new(),
        }
    }

    /// Adds a learner.
    #[must_use]
    pub fn with_learner(mut self, identity: Identity, address: SocketAddr) -> Self {
        self.learners.insert(identity, address);
        self
    }

    /// Promotes a learner to a voter; changes nothing if the replica is not a learner.
    #[must_use]
    pub fn with_promoted(mut self, identity: Identity) -> Self {
        if let Some(address) = self.learners.remove(&identity) {
            self.voters.insert(identity, address);
        }
        self
    }

    /// Removes a voter or learner.
    #[must_use]
    pub fn without(mut self, identity: Identity) -> Self {
        self.voters.remove(&identity);
        self.learners.remove(&identity);
        self
    }

    /// Voters, in ascending order.
    pub fn voters(&self) -> impl Iterator<Item = Identity> {
        self.voters.keys().copied()
    }

    /// Voters and then learners, with their addresses.
    pub fn members(&self) -> impl Iterator<Item = (Identity, SocketAddr)> {
        let all = self.voters.iter().chain(&self.learners);
        all.map(|(identity, address)| (*identity, *address))
    }

    /// Finds the member with a replica identifier, whatever its incarnation.
    pub fn find(&self, id: ReplicaId) -> Option<Identity> {
        let mut all = self.members().map(|(identity, _)| identity);
        all.find(|identity| identity.id() == id)
    }

    /// Address of a member; `None` if the replica is not in the group.
    pub fn address(&self, identity: Identity) -> Option<SocketAddr> {
        let voter = self.voters.get(&identity);
        voter.or_else(|| self.learners.get(&identity)).copied()
    }

    /// Number of voters, without learners.
    pub fn voter_count(&self) -> usize {
        self.voters.len()
    }

    /// Number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica is a voter, under this incarnation.
    pub fn is_voter(&self, identity: Identity) -> bool {
        self.voters.contains_key(&identity)
    }

    /// Whether the replica is a learner, under this incarnation.
    pub fn is_learner(&self, identity: Identity) -> bool {
        self.learners.contains_key(&identity)
    }

    /// Whether the replica is a voter or learner, under this incarnation.
    pub fn contains(&self, identity: Identity) -> bool {
        self.is_voter(identity) || self.is_learner(identity)
    }
}
