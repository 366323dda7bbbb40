//! The release note as a whole.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{HostSpec, JobSpec, MaintenanceSpec, ParseNoteError, PoolSpec, ServiceSpec, TeamSpec};

/// A numbered change of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReleaseNote {
    /// The number of the note; the version of the configuration once it is accepted.
    pub number: u64,
    /// The version that the note changes.
    pub builds_on: u64,
    /// One line for the history.
    #[serde(default)]
    pub summary: Arc<str>,
    /// What is new.
    #[serde(default)]
    pub added: Declared,
    /// What is replaced under the same name.
    #[serde(default)]
    pub changed: Declared,
    /// What goes.
    #[serde(default)]
    pub withdrawn: Withdrawn,
}

/// Full declarations, in the `added` and `changed` sections.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Declared {
    /// Hosts that the system may use.
    pub hosts: Vec<HostSpec>,
    /// Pools of hosts.
    pub pools: Vec<PoolSpec>,
    /// Services and their promises.
    pub services: Vec<ServiceSpec>,
    /// Teams and their quotas.
    pub teams: Vec<TeamSpec>,
    /// Jobs that pools carry.
    pub jobs: Vec<JobSpec>,
    /// Maintenance that hosts undergo.
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
    /// Largest accepted size of a note, in bytes.
    pub const MAX_BYTES: usize = 2 * 1024 * 1024;

    /// Reads a note from TOML text.
    ///
    /// # Errors
    ///
    /// Fails if the text is larger than [`MAX_BYTES`](Self::MAX_BYTES), is no TOML, misses a
    /// field, or has an unknown field. The error names line and column.
    pub fn from_toml(text: &str) -> Result<Self, ParseNoteError> {
        ParseNoteError::check_size(text.len())?;
        toml::from_str(text).map_err(|source| ParseNoteError::at(text, source))
    }

    /// Reads a note from the bytes of a file.
    ///
    /// # Errors
    ///
    /// Fails as [`from_toml`](Self::from_toml) does, and if the bytes are not UTF-8.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, ParseNoteError> {
        ParseNoteError::check_size(bytes.len())?;
        let text = std::str::from_utf8(bytes).map_err(ParseNoteError::from_utf8)?;
        Self::from_toml(text)
    }
}
