//! Identity of a replica and its data folder.

use std::fmt;

use masticfield_core::ids::{Incarnation, ReplicaId};
use serde::{Deserialize, Serialize};

/// Identity under which a replica votes: its identifier and the incarnation of its data folder.
///
/// The incarnation is random and drawn when the data folder is created. A replica that lost its
/// disk therefore returns under another identity, so that the group does not count it as the voter
/// that it was before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    id: ReplicaId,
    incarnation: Incarnation,
}

impl Identity {
    /// Creates the identity of a replica with the given data folder.
    pub const fn new(id: ReplicaId, incarnation: Incarnation) -> Self {
        Self { id, incarnation }
    }

    /// Configured identifier of the replica, which outlives the data folder.
    pub const fn id(self) -> ReplicaId {
        self.id
    }

    /// Incarnation of the data folder.
    pub const fn incarnation(self) -> Incarnation {
        self.incarnation
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.id, self.incarnation.number())
    }
}
