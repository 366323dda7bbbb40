//! Messages in datagrams.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DatagramTooLargeSnafu, DecodeSnafu, EncodeSnafu, VersionSnafu};
use crate::{WIRE_VERSION, WireError};

/// Largest datagram that is sent, in bytes; fits into one packet on usual networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Writes a message into the bytes of a datagram.
///
/// # Errors
///
/// Fails if the datagram would be larger than [`MAX_DATAGRAM_BYTES`].
pub fn encode<M: Serialize>(msg: &M) -> Result<Vec<u8>, WireError> {
    let buf = postcard::to_extend(msg, vec![WIRE_VERSION]).context(EncodeSnafu)?;
    if buf.len() > MAX_DATAGRAM_BYTES {
        return DatagramTooLargeSnafu {
            bytes: buf.len(),
            limit: MAX_DATAGRAM_BYTES,
        }
        .fail();
    }
    Ok(buf)
}

/// Reads a message from the bytes of a datagram.
///
/// # Errors
///
/// Fails if the datagram is empty, of another version, or no message.
pub fn decode<M: DeserializeOwned>(buf: &[u8]) -> Result<M, WireError> {
    let (theirs, body) = buf.split_first().ok_or(WireError::Empty)?;
    if *theirs != WIRE_VERSION {
        return VersionSnafu {
            theirs: *theirs,
            ours: WIRE_VERSION,
        }
        .fail();
    }
    postcard::from_bytes(body).context(DecodeSnafu)
}
