//! Declaration of a team and its quota.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A team and how much its jobs may hold at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: Arc<str>,
    /// Processor cores that its jobs may hold.
    pub cores: u32,
    /// Memory in gigabytes that its jobs may hold.
    pub memory_gb: u32,
    /// Accelerators that its jobs may hold.
    #[serde(default)]
    pub accelerators: u32,
}
