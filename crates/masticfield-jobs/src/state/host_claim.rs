//! Operations that the leader requests from the platform for a host.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// An operation that the leader requests from the platform for a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostClaim {
    /// Move the host to another pool.
    Move {
        /// Name of the target pool.
        pool: Arc<str>,
    },
    /// Begin the upkeep of the host.
    Upkeep {
        /// Number of the wave that the host belongs to.
        wave: u64,
    },
}
