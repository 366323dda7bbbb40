//! Declaration of a host.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Resources;

/// A host that pools may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostSpec {
    /// Name of the host, unique within the installation.
    pub name: Arc<str>,
    /// Region of the host.
    pub region: Arc<str>,
    /// Availability zone of the host.
    pub zone: Arc<str>,
    /// Rack of the host, unique within its availability zone.
    pub rack: Arc<str>,
    /// Number of processor cores.
    pub cores: u32,
    /// Memory in gigabytes.
    pub memory_gb: u32,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
}

impl HostSpec {
    /// Returns the total resources of the host.
    pub const fn capacity(&self) -> Resources {
        Resources::from_units(self.cores, self.memory_gb, self.accelerators)
    }
}
