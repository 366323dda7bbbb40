//! Keys that processes prove to each other.

use std::fmt;
use std::io;
use std::path::Path;

use hmac::{Hmac, KeyInit};
use sha2::Sha256;
use snafu::{ResultExt, Snafu};

/// Shortest text of a key, in bytes.
pub const MIN_KEY_BYTES: usize = 32;

/// Keys that are valid at once, at most.
pub const MAX_KEYS: usize = 2;

/// The keys that a process accepts; it proves the one that its peer has too.
///
/// Two keys are valid at once while keys are rotated: every process first accepts the new one
/// as well, then none accepts the old one.
#[derive(Clone)]
pub struct Keys {
    keys: Vec<Box<[u8]>>,
}

/// A text holds no usable keys.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// There is no key or there are too many.
    #[snafu(display("there are {count} keys; 1 to {MAX_KEYS} are allowed"))]
    Count {
        /// Keys found.
        count: usize,
    },
    /// A key is too short.
    #[snafu(display("key {number} has {bytes} bytes; at least {MIN_KEY_BYTES} are needed"))]
    Short {
        /// Number of the key, from 1.
        number: usize,
        /// Its size in bytes.
        bytes: usize,
    },
}

/// A file gives no usable keys.
#[derive(Debug, Snafu)]
pub enum ReadKeysError {
    /// The file cannot be read.
    #[snafu(display("the file cannot be read: {source}"))]
    File {
        /// The cause.
        source: io::Error,
    },
    /// The file holds no usable keys.
    #[snafu(display("{source}"))]
    Unusable {
        /// The cause.
        source: KeyError,
    },
}

impl Keys {
    /// Reads keys from text, one a line. Empty lines and lines that start with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Fails if there is no key, or too many, or one is shorter than [`MIN_KEY_BYTES`].
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
                return ShortSnafu { number, bytes }.fail();
            }
        }
        Ok(Self { keys })
    }

    /// Reads keys from a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or as [`parse`](Self::parse).
    pub fn read(path: impl AsRef<Path>) -> Result<Self, ReadKeysError> {
        let text = std::fs::read_to_string(path).context(FileSnafu)?;
        Self::parse(text).context(UnusableSnafu)
    }

    /// A code for each key.
    pub(crate) fn codes(&self) -> impl Iterator<Item = Hmac<Sha256>> {
        self.keys.iter().map(|key| code(key))
    }
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Keys")
            .field("count", &self.keys.len())
            .finish_non_exhaustive()
    }
}

/// The keyed code of a key.
pub(crate) fn code(key: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(key).expect("a key may have any length")
}
