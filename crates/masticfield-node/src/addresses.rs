//! File that lists the addresses a program listens on.
//!
//! With port 0 the operating system chooses a port, which other programs read from this file.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use snafu::{ResultExt, Snafu};

/// Addresses that a program listens on, by the name of the listener.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Addresses {
    by_name: BTreeMap<&'static str, SocketAddr>,
}

/// Error of writing the address file.
#[derive(Debug, Snafu)]
#[snafu(display("{} cannot be written", path.display()))]
pub struct WriteAddressesError {
    path: PathBuf,
    source: io::Error,
}

impl Addresses {
    /// Creates an empty set of addresses.
    pub const fn new() -> Self {
        Self {
            by_name: BTreeMap::new(),
        }
    }

    /// Adds the address of the listener `name`, replacing an earlier one.
    #[must_use]
    pub fn with(mut self, name: &'static str, address: SocketAddr) -> Self {
        self.by_name.insert(name, address);
        self
    }

    /// Returns the address of the listener `name`.
    pub fn address(&self, name: &str) -> Option<SocketAddr> {
        self.by_name.get(name).copied()
    }

    /// Writes the addresses as a JSON object, replacing the file atomically.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written or renamed into place.
    ///
    /// # Panics
    ///
    /// Panics if an address cannot be written as text, which is a bug.
    pub fn write(&self, path: &Path) -> Result<(), WriteAddressesError> {
        let json = serde_json::to_vec(&self.by_name).expect("names and addresses are text");
        let partial = path.with_extension("partial");
        std::fs::write(&partial, json)
            .and_then(|()| std::fs::rename(&partial, path))
            .context(WriteAddressesSnafu { path })
    }
}
