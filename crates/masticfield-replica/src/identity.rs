//! The identity under which a replica votes.

use std::fmt;

use masticfield_core::ids::{Incarnation, ReplicaId};
use serde::{Deserialize, Serialize};

/// A replica together with the data folder that it votes with.
///
/// A data folder draws its incarnation when it is created. A replica that lost its disk has
/// another incarnation, so the group does not take it for the voter that it was.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Identity {
    id: ReplicaId,
    incarnation: Incarnation,
}

impl Identity {
    /// Creates the identity of a replica with a data folder.
    pub const fn new(id: ReplicaId, incarnation: Incarnation) -> Self {
        Self { id, incarnation }
    }

    /// The replica.
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
