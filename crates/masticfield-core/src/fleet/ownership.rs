//! Which pool owns a host.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Number that rises each time a host changes hands.
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

    /// The number of the generation.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The generation after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The durable state of a host's ownership.
///
/// The states follow each other: owned, draining, released, owned by the next pool at the next
/// generation. A host is released only on its own word or once its leases have run out.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ownership {
    /// The host belongs to a pool.
    Owned {
        /// The pool.
        pool: Arc<str>,
        /// The generation.
        generation: Generation,
    },
    /// The host still belongs to the pool but takes no new work.
    Draining {
        /// The pool.
        pool: Arc<str>,
        /// The generation.
        generation: Generation,
    },
    /// The host belongs to no pool.
    Released {
        /// The generation of its last owner.
        generation: Generation,
    },
}

impl Ownership {
    /// The pool that the host belongs to.
    pub const fn pool(&self) -> Option<&Arc<str>> {
        match self {
            Self::Owned { pool, .. } | Self::Draining { pool, .. } => Some(pool),
            Self::Released { .. } => None,
        }
    }

    /// The generation of the current or last owner.
    pub const fn generation(&self) -> Generation {
        match self {
            Self::Owned { generation, .. }
            | Self::Draining { generation, .. }
            | Self::Released { generation } => *generation,
        }
    }
}
