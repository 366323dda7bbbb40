//! Digests of the keys of workspaces.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::{Snafu, ensure};

/// Hashed before the key, so that a digest differs from the plain SHA-256 of the same text.
const DOMAIN: &[u8] = b"masticfield workspace key\0";

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 4_096;

/// Digest of the key of a workspace.
///
/// Keys are compared only by their digests. `Debug` prints no part of a digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

/// The text cannot be a key: it is empty, too long, or has characters other than visible ASCII.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("a key has 1 to {MAX_KEY_BYTES} visible ASCII characters"))]
pub struct InvalidKey;

impl KeyDigest {
    /// Creates the digest of a key.
    ///
    /// # Errors
    ///
    /// Fails if the text cannot be a key.
    ///
    /// # Examples
    ///
    /// ```
    /// use masticfield_jobs::queue::KeyDigest;
    ///
    /// assert_eq!(KeyDigest::new("first")?, KeyDigest::new("first")?);
    /// assert_ne!(KeyDigest::new("first")?, KeyDigest::new("second")?);
    /// assert!(KeyDigest::new("").is_err());
    /// # Ok::<(), masticfield_jobs::queue::InvalidKey>(())
    /// ```
    pub fn new(key: &str) -> Result<Self, InvalidKey> {
        let valid = (1..=MAX_KEY_BYTES).contains(&key.len());
        ensure!(
            valid && key.bytes().all(|byte| byte.is_ascii_graphic()),
            InvalidKeySnafu
        );
        let hash = Sha256::new_with_prefix(DOMAIN).chain_update(key);
        Ok(Self(hash.finalize().into()))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}
