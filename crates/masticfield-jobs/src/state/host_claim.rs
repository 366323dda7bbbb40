//! What is asked of the platform for a host.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What is asked of the platform for a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostClaim {
    /// To move it to a pool.
    Move {
        /// The pool.
        pool: Arc<str>,
    },
    /// To begin its upkeep.
    Upkeep {
        /// The wave.
        wave: u64,
    },
}
