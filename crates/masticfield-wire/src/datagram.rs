//! Encoding of messages in datagrams.

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::error::{DatagramTooLargeSnafu, DecodeSnafu, EncodeSnafu, VersionSnafu};
use crate::{WIRE_VERSION, WireError};

/// Maximum size of a datagram that is sent, in bytes; it fits into one packet on common networks.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Fails if the message cannot be encoded or the datagram would exceed [`MAX_DATAGRAM_BYTES`].
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

/// Decodes a message from a datagram.
///
/// # Errors
///
/// Fails if the datagram is empty, has another version, or does not decode.
pub fn decode<M: DeserializeOwned>(buf: &[u8]) -> Result<M, WireError> {
    let (version, body) = buf.split_first().ok_or(WireError::Empty)?;
    if *version != WIRE_VERSION {
        return VersionSnafu {
            peer: *version,
            own: WIRE_VERSION,
        }
        .fail();
    }
    postcard::from_bytes(body).context(DecodeSnafu)
}
