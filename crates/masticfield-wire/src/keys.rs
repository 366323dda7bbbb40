//! Keys by which processes authenticate each other.

use std::fmt;
use std::io;
use std::path::Path;

use hmac::{Hmac, KeyInit};
use sha2::Sha256;
use snafu::{ResultExt, Snafu};

/// Minimum length of the text of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;

/// Maximum number of keys that are valid at the same time.
pub const MAX_KEYS: usize = 2;

/// Keys that a process accepts; a connection uses one that both sides hold.
///
/// Two keys are valid while keys are rotated: first the new key is added on every process, then the
/// old one is removed.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<Box<[u8]>>,
}

/// Error of parsing keys.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text holds no key or more than [`MAX_KEYS`].
    #[snafu(display("there are {count} keys; 1 to {MAX_KEYS} are allowed"))]
    Count {
        /// Number of keys in the text.
        count: usize,
    },
    /// A key is shorter than [`MIN_KEY_BYTES`].
    #[snafu(display("key {number} has {bytes} bytes; at least {MIN_KEY_BYTES} are needed"))]
    TooShort {
        /// Number of the key, from 1.
        number: usize,
        /// Length of the key, in bytes.
        bytes: usize,
    },
}

/// Error of reading keys from a file.
#[derive(Debug, Snafu)]
pub enum ReadKeysError {
    /// The file cannot be read.
    #[snafu(display("the file cannot be read: {source}"))]
    File {
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file holds no valid keys.
    #[snafu(display("{source}"))]
    Invalid {
        /// What is wrong with the keys.
        source: KeyError,
    },
}

impl Keys {
    /// Parses keys from text, one per line. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, if there are more than [`MAX_KEYS`], or if one is shorter than
    /// [`MIN_KEY_BYTES`].
    pub fn parse(text: impl AsRef<str>) -> Result<Self, KeyError> {
        let lines = text.as_ref().lines().map(str::trim);
        let lines = lines.filter(|line| !line.is_empty() && !line.starts_with('#'));
        let keys: Vec<Box<[u8]>> = lines.map(|line| line.as_bytes().into()).collect();
        if !(1..=MAX_KEYS).contains(&keys.len()) {
            return CountSnafu { count: keys.len() }.fail();
        }
        for (number, key) in (1_usize..).zip(&keys) {
            let bytes = key.len();
            if bytes < MIN_KEY_BYTES {
                return TooShortSnafu { number, bytes }.fail();
            }
        }
        Ok(Self { keys })
    }

    /// Reads keys from a file in the format of [`parse`](Self::parse).
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or as [`parse`](Self::parse).
    pub fn read(path: impl AsRef<Path>) -> Result<Self, ReadKeysError> {
        let text = std::fs::read_to_string(path).context(FileSnafu)?;
        Self::parse(text).context(InvalidSnafu)
    }

    /// A MAC for each key, in order.
    pub(crate) fn macs(&self) -> impl Iterator<Item = Hmac<Sha256>> {
        self.keys.iter().map(|key| mac(key))
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys")
            .field("count", &self.keys.len())
            .finish_non_exhaustive()
    }
}

/// Creates the MAC of a key.
pub(crate) fn mac(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("HMAC accepts keys of any length")
}
