//! Identifiers of the processes of the system.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifier of an entry process, unique in the installation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EntryId(u16);

impl EntryId {
    /// Creates an identifier from its number.
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// The number of the entry.
    pub const fn number(self) -> u16 {
        self.0
    }
}

impl fmt::Display for EntryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "e{}", self.0)
    }
}

impl FromStr for EntryId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('e').unwrap_or(text).parse().map(Self)
    }
}

/// Identifier of a control replica.
///
/// A replica that lost its disk comes back under a new identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(u64);

impl ReplicaId {
    /// Creates an identifier from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number of the replica.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}

impl FromStr for ReplicaId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.strip_prefix('r').unwrap_or(text).parse().map(Self)
    }
}
