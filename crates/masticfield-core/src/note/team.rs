//! Declaration of a team and its quota.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::Resources;

/// A team and the resources that its jobs may hold at the same time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: Arc<str>,
    /// Number of processor cores that its jobs may hold.
    pub cores: u32,
    /// Memory that its jobs may hold, in gigabytes.
    pub memory_gb: u32,
    /// Number of accelerators that its jobs may hold.
    #[serde(default)]
    pub accelerators: u32,
}

impl TeamSpec {
    /// Returns the quota as resources.
    pub const fn quota(&self) -> Resources {
        Resources::from_units(self.cores, self.memory_gb, self.accelerators)
    }
}
