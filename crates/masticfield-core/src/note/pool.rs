//! Declaration of a pool.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A pool of hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolSpec {
    /// Name of the pool.
    pub name: Arc<str>,
    /// Healthy hosts that the pool needs to carry its work.
    pub hosts: u32,
    /// Whether the pool lends its hosts to pools that lack some.
    #[serde(default)]
    pub spare: bool,
    /// Region that the pool is at home in; any region if not given.
    #[serde(default)]
    pub region: Option<Arc<str>>,
}
