//! Waves of upkeep.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A wave of upkeep as the operator asked for it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaveOrder {
    /// Its number.
    pub number: u64,
    /// The hosts.
    pub hosts: Vec<Arc<str>>,
    /// Time that the wave may take, in milliseconds.
    pub duration_ms: u64,
    /// Hosts in upkeep at the same time, at most.
    pub cap: u32,
}

/// A wave of upkeep under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wave {
    /// What the operator asked for.
    pub order: WaveOrder,
    /// Time of day at its start, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Hosts whose upkeep has not begun.
    pub remaining: BTreeSet<Arc<str>>,
}
