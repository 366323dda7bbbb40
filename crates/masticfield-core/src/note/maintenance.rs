//! Declaration of a maintenance programme.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Maintenance that every host of the listed pools undergoes once per period.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MaintenanceSpec {
    /// Name of the programme.
    pub name: Arc<str>,
    /// Names of the pools whose hosts are maintained; all pools if empty.
    #[serde(default)]
    pub pools: Vec<Arc<str>>,
    /// Time within which every host is maintained once.
    #[serde(with = "humantime_serde")]
    pub period: Duration,
    /// Maximum number of hosts that are out of service at the same time.
    pub batch: u32,
    /// Expected time for which a host is out of service.
    #[serde(with = "humantime_serde")]
    pub expected_outage: Duration,
}
