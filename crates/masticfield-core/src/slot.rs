//! Grants that share the slots of executors among entries.
//!
//! # Examples
//!
//! ```
//! use masticfield_core::slot::Epoch;
//!
//! assert!(Epoch::new(2) > Epoch::new(1));
//! ```

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{EntryId, Incarnation};

/// Term of a home entry; fences its grants against those of an earlier home.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(u64);

impl Epoch {
    /// Creates an epoch from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the epoch.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// Returns the epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Time-limited permit to have a number of requests in flight at one executor.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream that the grant is valid for.
    pub incarnation: Incarnation,
    /// Home entry that issued the grant.
    pub home: EntryId,
    /// Epoch of the home entry.
    pub epoch: Epoch,
    /// Entry that may use the slots.
    pub to: EntryId,
    /// Number of requests that may be in flight.
    pub slots: u16,
    /// Time from its receipt after which the grant expires.
    pub ttl: Duration,
}
