//! The model of a host.

use std::sync::Arc;

/// A host of the fleet.
#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) name: Arc<str>,
    pub(crate) pool: Arc<str>,
    /// It is away until this moment.
    pub(crate) back: u64,
    /// Index of its executor, if it has one.
    pub(crate) executor: Option<usize>,
    pub(crate) fence: u64,
    /// Leader that last asked about it, and when.
    pub(crate) asked: Option<(u64, u64)>,
    /// Whether it was last away for upkeep.
    pub(crate) in_upkeep: bool,
    /// Whether its upkeep has begun.
    pub(crate) tended: bool,
}
