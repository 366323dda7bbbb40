//! Idempotency keys and request fingerprints.

use std::sync::Arc;

use masticfield_core::claim::ClaimKey;
use masticfield_core::outcome::NotRunReason;
use sha2::{Digest, Sha256};
use snafu::{OptionExt, Snafu, ensure};

/// Seconds after its issue during which a key is accepted.
pub const KEY_RETENTION_S: u64 = 3_600;

/// Seconds by which a caller's clock may be ahead.
pub const MAX_KEY_AHEAD_S: u64 = 60;

/// Maximum length of a key, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// The key under which a request runs at most once: `<Unix seconds of its issue>-<text>`.
///
/// The time of issue shows whether an earlier claim of the key may already have been discarded.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    text: Arc<str>,
    issued_s: u64,
}

/// Why a text is not accepted as an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text does not have the form of a key.
    #[snafu(display("a key has the form <Unix seconds>-<text>, of at most {MAX_KEY_BYTES} bytes"))]
    Malformed,
    /// The key is so old that its claim may have been discarded.
    #[snafu(display("the key was issued more than {KEY_RETENTION_S} seconds ago"))]
    Expired,
    /// The time of issue is too far in the future.
    #[snafu(display("the key was issued more than {MAX_KEY_AHEAD_S} seconds ahead"))]
    Ahead,
}

impl IdempotencyKey {
    /// Parses a key; `now_s` is the present time in seconds since the Unix epoch.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, or if its time of issue is too old or too far ahead.
    pub fn parse(text: impl AsRef<str>, now_s: u64) -> Result<Self, KeyError> {
        let text = text.as_ref();
        ensure!(text.len() <= MAX_KEY_BYTES, MalformedSnafu);
        let (seconds, suffix) = text.split_once('-').context(MalformedSnafu)?;
        let digits = !seconds.is_empty() && seconds.bytes().all(|byte| byte.is_ascii_digit());
        ensure!(digits && !suffix.is_empty(), MalformedSnafu);
        let issued_s: u64 = seconds.parse().ok().context(MalformedSnafu)?;
        ensure!(
            issued_s.saturating_add(KEY_RETENTION_S) > now_s,
            ExpiredSnafu
        );
        ensure!(
            issued_s <= now_s.saturating_add(MAX_KEY_AHEAD_S),
            AheadSnafu
        );
        Ok(Self {
            text: text.into(),
            issued_s,
        })
    }

    /// Time of issue, in seconds since the Unix epoch.
    pub const fn issued_s(&self) -> u64 {
        self.issued_s
    }

    /// The key to claim for a request to `service`; it differs from service to service.
    pub fn claim_key(&self, service: impl AsRef<str>) -> ClaimKey {
        let digest = digest([service.as_ref().as_bytes(), self.text.as_bytes()]);
        ClaimKey::from_digest(digest, self.issued_s)
    }
}

impl KeyError {
    /// The reason given to the caller whose request carries such a key.
    pub const fn reason(self) -> NotRunReason {
        match self {
            Self::Malformed | Self::Ahead => NotRunReason::KeyMissing,
            Self::Expired => NotRunReason::KeyExpired,
        }
    }
}

/// Digest of a request's content, which tells a resend from another request with the same key.
pub fn fingerprint(
    method: impl AsRef<str>,
    path: impl AsRef<str>,
    body: impl AsRef<[u8]>,
) -> [u8; 16] {
    digest([
        method.as_ref().as_bytes(),
        path.as_ref().as_bytes(),
        body.as_ref(),
    ])
}

/// The first 128 bits of the SHA-256 digest of the parts, each prefixed with its length.
fn digest<const N: usize>(parts: [&[u8]; N]) -> [u8; 16] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut first = [0; 16];
    first.copy_from_slice(&hasher.finalize()[..16]);
    first
}
