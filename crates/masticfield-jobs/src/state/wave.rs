//! Waves of upkeep.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A wave of upkeep as the operator requested it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveOrder {
    /// Number of the wave, chosen by the operator; a repeated number changes nothing.
    pub number: u64,
    /// Names of the hosts that are due for upkeep.
    pub hosts: Vec<Arc<str>>,
    /// Time within which the wave should be complete, in milliseconds.
    pub duration_ms: u64,
    /// Maximum number of hosts in upkeep at the same time.
    pub cap: u32,
}

/// A wave of upkeep and its progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// The operator's request.
    pub order: WaveOrder,
    /// Wall-clock time when the wave was accepted, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Names of the hosts whose upkeep has not begun, without those that have left the wave.
    pub remaining: BTreeSet<Arc<str>>,
}
