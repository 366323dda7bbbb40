//! Identifiers of processes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Identifier of an entry, unique within the installation; written as `e3`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EntryId(u16);

impl EntryId {
    /// Creates an identifier from its number.
    pub const fn new(number: u16) -> Self {
        Self(number)
    }

    /// Returns the number of the entry.
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

/// Identifier of a control replica, unique within the installation; written as `r3`.
///
/// A replica that has lost its disk rejoins under a new identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(u64);

impl ReplicaId {
    /// Creates an identifier from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the replica.
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
