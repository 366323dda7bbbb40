//! Snapshots of the state.

use snafu::{ResultExt, Snafu};

use crate::State;

/// The version of the snapshots that this program writes and reads.
const SNAPSHOT_VERSION: u8 = 1;

/// Room set aside for what is neither a claim nor a line of the history, in bytes.
const BASE_BYTES: usize = 64 * 1024;
/// Room set aside for a claim, in bytes.
const CLAIM_BYTES: usize = 40;
/// Room set aside for a line of the history, in bytes.
const ROW_BYTES: usize = 160;

/// A snapshot cannot be written or read.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state cannot be encoded.
    #[snafu(display("the state cannot be encoded"))]
    Encode {
        /// The cause.
        source: postcard::Error,
    },
    /// The snapshot was written by a program of another version.
    #[snafu(display("the snapshot has version {found}; this program reads {supported}"))]
    Version {
        /// The version of the snapshot.
        found: u8,
        /// The version that this program reads.
        supported: u8,
    },
    /// The snapshot is empty.
    #[snafu(display("the snapshot is empty"))]
    Empty,
    /// The snapshot is damaged.
    #[snafu(display("the snapshot cannot be decoded"))]
    Decode {
        /// The cause.
        source: postcard::Error,
    },
    /// Bytes follow the end of the state.
    #[snafu(display("{bytes} bytes follow the end of the snapshot"))]
    Trailing {
        /// How many.
        bytes: usize,
    },
}

impl State {
    /// Encodes the state, with the version of the format first.
    ///
    /// # Errors
    ///
    /// Fails only if a value cannot be represented, which the types exclude.
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
    /// Fails if the snapshot has another version or is no whole state.
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
