//! Ownership of hosts by pools.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number of an ownership of a host, which rises each time the host gets an owner.
///
/// Commands carry it as a fence against commands of earlier owners.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(u64);

impl Generation {
    /// Creates a generation from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the generation.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Returns the generation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Durable state of a host's ownership.
///
/// A host goes from owned to draining to released, and is then owned by its next pool at the next
/// generation. A host is released only after it has reported that it is drained, or after its
/// leases have expired.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ownership {
    /// The host belongs to a pool.
    Owned {
        /// Name of the pool.
        pool: Arc<str>,
        /// Generation of the ownership.
        generation: Generation,
    },
    /// The host still belongs to the pool but takes no new work.
    Draining {
        /// Name of the pool.
        pool: Arc<str>,
        /// Generation of the ownership.
        generation: Generation,
    },
    /// The host belongs to no pool.
    Released {
        /// Generation of the last ownership.
        generation: Generation,
    },
}

impl Ownership {
    /// Returns the pool that the host belongs to, if any.
    pub const fn pool(&self) -> Option<&Arc<str>> {
        match self {
            Self::Owned { pool, .. } | Self::Draining { pool, .. } => Some(pool),
            Self::Released { .. } => None,
        }
    }

    /// Returns the generation of the current or last ownership.
    pub const fn generation(&self) -> Generation {
        match self {
            Self::Owned { generation, .. }
            | Self::Draining { generation, .. }
            | Self::Released { generation } => *generation,
        }
    }
}
