//! Bearer tokens of operators.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use http::header::{AUTHORIZATION, HeaderMap};
use snafu::{ResultExt, Snafu, ensure};
use subtle::ConstantTimeEq;

/// A bearer token, which `Debug` redacts.
#[derive(Clone)]
pub struct Token(Arc<str>);

/// Error of reading a token from its file.
#[derive(Debug, Snafu)]
pub enum ReadTokenError {
    /// The file cannot be read.
    #[snafu(display("{} cannot be read", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The token is too short to be secure, or contains whitespace.
    #[snafu(display("{} does not hold a token of at least {min} bytes without whitespace", path.display()))]
    Unusable {
        /// Path of the file.
        path: PathBuf,
        /// Minimum length of a token, in bytes.
        min: usize,
    },
}

impl Token {
    /// Minimum length of a token, in bytes.
    pub const MIN_BYTES: usize = 16;

    /// Creates a token from its text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// Reads a token from a file, ignoring surrounding whitespace.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not hold a valid token.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, ReadTokenError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        let text = text.trim();
        let usable = text.len() >= Self::MIN_BYTES && !text.contains(char::is_whitespace);
        ensure!(
            usable,
            UnusableSnafu {
                path,
                min: Self::MIN_BYTES
            }
        );
        Ok(Self::new(text))
    }

    /// Returns the value of the `Authorization` header that carries the token.
    pub fn authorization(&self) -> String {
        format!("Bearer {}", self.0)
    }

    /// Returns whether the headers carry this token; compares in constant time.
    pub fn authorizes(&self, headers: &HeaderMap) -> bool {
        let value = headers
            .get(AUTHORIZATION)
            .map_or(&b""[..], |value| value.as_bytes());
        value.ct_eq(self.authorization().as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(redacted)")
    }
}
