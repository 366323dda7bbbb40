//! Declaration of a pool.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A pool of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Number of healthy hosts that the pool needs for its work.
    pub hosts: u32,
    /// Whether the pool holds the reserve and lends its hosts to pools that lack some.
    #[serde(default)]
    pub spare: bool,
    /// Region of the pool; any region if absent.
    #[serde(default)]
    pub region: Option<Arc<str>>,
}
