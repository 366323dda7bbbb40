//! Declaration of a maintenance programme.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maintenance that each host of the pools undergoes once in a period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceSpec {
    /// Name of the programme.
    pub name: Arc<str>,
    /// Pools whose hosts are maintained; all pools if empty.
    #[serde(default)]
    pub pools: Vec<Arc<str>>,
    /// Time within which each host is maintained once.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Hosts that are out at the same time, at most.
    pub batch: u32,
    /// How long a host is expected to be out.
    #[serde(with = "humantime_serde")]
    pub expected_outage: Duration,
}
