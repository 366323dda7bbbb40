//! Encoding of the state as a snapshot.

use snafu::{ResultExt, Snafu};

use crate::State;

/// Version of the snapshot format that this program writes and reads.
const SNAPSHOT_VERSION: u8 = 1;

/// Estimated size of everything except claims and history rows, in bytes.
const BASE_BYTES: usize = 64 * 1024;
/// Estimated size of a claim, in bytes.
const CLAIM_BYTES: usize = 40;
/// Estimated size of a history row, in bytes.
const ROW_BYTES: usize = 160;

/// A failure to encode or decode a snapshot.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state cannot be encoded.
    #[snafu(display("the state cannot be encoded"))]
    Encode {
        /// The underlying encoding error.
        source: postcard::Error,
    },
    /// The snapshot has a format version that this program does not support.
    #[snafu(display(
        "the snapshot has format version {found}; this program reads version {supported}"
    ))]
    Version {
        /// The format version of the snapshot.
        found: u8,
        /// The format version that this program reads.
        supported: u8,
    },
    /// The snapshot has no bytes.
    #[snafu(display("the snapshot is empty"))]
    Empty,
    /// The snapshot is truncated or damaged.
    #[snafu(display("the snapshot cannot be decoded"))]
    Decode {
        /// The underlying decoding error.
        source: postcard::Error,
    },
    /// The snapshot has additional bytes after the encoded state.
    #[snafu(display("{bytes} bytes follow the end of the snapshot"))]
    Trailing {
        /// Number of additional bytes.
        bytes: usize,
    },
}

impl State {
    /// Encodes the state, preceded by the format version.
    ///
    /// # Errors
    ///
    /// Fails only if a value cannot be represented, which the types rule out.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        let claims = self.claims().len() * CLAIM_BYTES;
        let rows = self.history().rows().len() * ROW_BYTES;
        let mut buf = Vec::with_capacity(BASE_BYTES + claims + rows);
        buf.push(SNAPSHOT_VERSION);
        postcard::to_extend(self, buf).context(EncodeSnafu)
    }

    /// Decodes a state from a snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot has another format version, or is not exactly one encoded state.
    pub fn from_snapshot(snapshot: &[u8]) -> Result<Self, SnapshotError> {
        let (found, body) = snapshot.split_first().ok_or(SnapshotError::Empty)?;
        if *found != SNAPSHOT_VERSION {
            return VersionSnafu {
                found: *found,
                supported: SNAPSHOT_VERSION,
            }
            .fail();
        }
        let (state, rest) = postcard::take_from_bytes(body).context(DecodeSnafu)?;
        if !rest.is_empty() {
            return TrailingSnafu { bytes: rest.len() }.fail();
        }
        Ok(state)
    }
}
