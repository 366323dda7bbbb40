//! Identifier of a request that is sent to an upstream.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

use super::EntryId;

/// Identifier that an entry assigns to one dispatch of a request.
///
/// The upstream echoes it, so that the entry detects a response to another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId {
    entry: EntryId,
    sequence: u64,
}

/// The text is not a request identifier.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a request identifier has the form e<entry>-<sequence in hexadecimal>"))]
pub struct ParseRequestIdError;

impl RequestId {
    /// Creates the identifier of the `sequence`th dispatch of `entry`.
    pub const fn new(entry: EntryId, sequence: u64) -> Self {
        Self { entry, sequence }
    }

    /// Returns the entry that dispatched the request.
    pub const fn entry(self) -> EntryId {
        self.entry
    }

    /// Returns the sequence number of the dispatch at its entry.
    pub const fn sequence(self) -> u64 {
        self.sequence
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.entry, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, sequence) = text.split_once('-').context(ParseRequestIdSnafu)?;
        let entry = entry.parse().ok().context(ParseRequestIdSnafu)?;
        let sequence = u64::from_str_radix(sequence, 16)
            .ok()
            .context(ParseRequestIdSnafu)?;
        Ok(Self::new(entry, sequence))
    }
}
