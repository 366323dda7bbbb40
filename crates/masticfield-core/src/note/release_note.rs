//! The release note and its sections.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{HostSpec, JobSpec, MaintenanceSpec, ParseNoteError, PoolSpec, ServiceSpec, TeamSpec};

/// A numbered change to the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// Number of the note, which becomes the version of the configuration once it is accepted.
    pub number: u64,
    /// Version of the configuration that the note changes.
    pub builds_on: u64,
    /// One-line description for the history.
    #[serde(default)]
    pub summary: Arc<str>,
    /// Objects that are new.
    #[serde(default)]
    pub added: Declared,
    /// Objects that replace those of the same name.
    #[serde(default)]
    pub changed: Declared,
    /// Names of objects that are removed.
    #[serde(default)]
    pub withdrawn: Withdrawn,
}

/// Complete declarations, in the `added` and `changed` sections.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declared {
    /// Hosts that pools may use.
    pub hosts: Vec<HostSpec>,
    /// Pools of hosts.
    pub pools: Vec<PoolSpec>,
    /// Services with their promised availability.
    pub services: Vec<ServiceSpec>,
    /// Teams with their quotas.
    pub teams: Vec<TeamSpec>,
    /// Jobs that run on the hosts of pools.
    pub jobs: Vec<JobSpec>,
    /// Maintenance programmes of hosts.
    pub maintenance: Vec<MaintenanceSpec>,
}

/// Names in the `withdrawn` section.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Withdrawn {
    /// Names of hosts.
    pub hosts: Vec<Arc<str>>,
    /// Names of pools.
    pub pools: Vec<Arc<str>>,
    /// Names of services.
    pub services: Vec<Arc<str>>,
    /// Names of teams.
    pub teams: Vec<Arc<str>>,
    /// Names of jobs.
    pub jobs: Vec<Arc<str>>,
    /// Names of maintenance programmes.
    pub maintenance: Vec<Arc<str>>,
}

impl ReleaseNote {
    /// Maximum size of a note, in bytes.
    pub const MAX_BYTES: usize = 2 * 1024 * 1024;

    /// Parses a note from TOML text.
    ///
    /// # Errors
    ///
    /// Fails if the text is larger than [`MAX_BYTES`](Self::MAX_BYTES), is not valid TOML, lacks a
    /// required field, or has an unknown field. Errors in the text name line and column.
    pub fn from_toml(text: &str) -> Result<Self, ParseNoteError> {
        ParseNoteError::check_size(text.len())?;
        toml::from_str(text).map_err(|source| ParseNoteError::syntax(text, source))
    }

    /// Parses a note from the bytes of a file.
    ///
    /// # Errors
    ///
    /// Fails like [`from_toml`](Self::from_toml), or if the bytes are not valid UTF-8.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ParseNoteError> {
        ParseNoteError::check_size(bytes.len())?;
        let text = std::str::from_utf8(bytes).map_err(ParseNoteError::from_utf8)?;
        Self::from_toml(text)
    }
}
