//! Authentication of the frames of one direction of a connection.

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::WireError;

/// Bytes of the code at the end of a frame.
pub(crate) const TAG_BYTES: usize = 16;

/// Signs or checks the frames of one direction, in their order.
#[derive(Clone)]
pub(crate) struct Session {
    code: Hmac<Sha256>,
    frames: u64,
}

impl Session {
    pub(crate) const fn new(code: Hmac<Sha256>) -> Self {
        Self { code, frames: 0 }
    }

    /// Appends the code of the next frame to it.
    pub(crate) fn sign(&mut self, frame: &mut Vec<u8>) {
        let tag = self.next(frame).finalize().into_bytes();
        frame.extend_from_slice(&tag[..TAG_BYTES]);
    }

    /// Checks the next frame and returns it without its code.
    pub(crate) fn check<'a>(&mut self, signed: &'a [u8]) -> Result<&'a [u8], WireError> {
        let length = signed.len().checked_sub(TAG_BYTES);
        let (frame, tag) = signed.split_at(length.ok_or(WireError::Forged)?);
        let checked = self.next(frame).verify_truncated_left(tag);
        checked.map_err(|_differs| WireError::Forged)?;
        Ok(frame)
    }

    fn next(&mut self, frame: &[u8]) -> Hmac<Sha256> {
        let mut code = self.code.clone();
        code.update(&self.frames.to_le_bytes());
        code.update(frame);
        self.frames += 1;
        code
    }
}

impl std::fmt::Debug for Session {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Session")
            .field("frames", &self.frames)
            .finish_non_exhaustive()
    }
}
