//! Slots of executors and the grants that share them among entries.
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

/// Number that fences the grants of one home entry against those of an earlier one.
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

    /// The number of the epoch.
    pub const fn number(self) -> u64 {
        self.0
    }

    /// The epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Leave to have a number of requests in flight at one executor for a while.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// The incarnation of the upstream that the grant is for.
    pub incarnation: Incarnation,
    /// The entry that grants.
    pub home: EntryId,
    /// The epoch of the home.
    pub epoch: Epoch,
    /// The entry that may use the slots.
    pub to: EntryId,
    /// How many requests may be in flight.
    pub slots: u16,
    /// How long the grant lasts from its receipt.
    pub ttl: Duration,
}
