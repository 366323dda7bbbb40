//! Authentication of frames after the handshake.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::WireError;

/// Size of the tag at the end of a frame, in bytes.
pub(crate) const TAG_BYTES: usize = 16;

/// Signs or verifies the frames of one direction of a connection, in order.
///
/// The tag of a frame covers its number, so that reordered, repeated and missing frames fail.
#[derive(Clone)]
pub(crate) struct FrameAuth {
    mac: Hmac<Sha256>,
    /// Number of frames signed or verified so far.
    frames: u64,
}

impl FrameAuth {
    pub(crate) const fn new(mac: Hmac<Sha256>) -> Self {
        Self { mac, frames: 0 }
    }

    /// Appends its tag to the next frame.
    pub(crate) fn sign(&mut self, frame: &mut Vec<u8>) {
        let tag = self.next_mac(frame).finalize().into_bytes();
        frame.extend_from_slice(&tag[..TAG_BYTES]);
    }

    /// Verifies the next frame and returns it without its tag.
    pub(crate) fn verify<'a>(&mut self, signed: &'a [u8]) -> Result<&'a [u8], WireError> {
        let length = signed.len().checked_sub(TAG_BYTES);
        let (frame, tag) = signed.split_at(length.ok_or(WireError::Forged)?);
        let verified = self.next_mac(frame).verify_truncated_left(tag);
        verified.map_err(|_mismatch| WireError::Forged)?;
        Ok(frame)
    }

    fn next_mac(&mut self, frame: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.mac.clone();
        mac.update(&self.frames.to_le_bytes());
        mac.update(frame);
        self.frames += 1;
        mac
    }
}

impl std::fmt::Debug for FrameAuth {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FrameAuth")
            .field("frames", &self.frames)
            .finish_non_exhaustive()
    }
}
