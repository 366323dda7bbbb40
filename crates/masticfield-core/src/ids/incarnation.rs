//! The incarnation of a process.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number that rises each time a process restarts.
///
/// Processes use the milliseconds since the Unix epoch at their start. Information about a higher
/// incarnation always replaces information about a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number of the incarnation.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
