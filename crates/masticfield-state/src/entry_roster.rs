//! Registered incarnations of entries.

use std::collections::BTreeSet;

use masticfield_core::ids::{EntryId, Incarnation};
use serde::{Deserialize, Serialize};

/// The incarnations of entries that may hold a configuration lease.
///
/// An incarnation is registered before its first lease and removed after its last lease has
/// expired, so that a new leader knows for which leases it has to wait.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryRoster {
    entries: BTreeSet<(EntryId, Incarnation)>,
}

impl EntryRoster {
    /// Iterates over the registered incarnations, by entry and incarnation.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, Incarnation)> {
        self.entries.iter().copied()
    }

    /// The latest registered incarnation of an entry; `None` if none is registered.
    pub fn latest(&self, entry: EntryId) -> Option<Incarnation> {
        let all = (entry, Incarnation::new(0))..=(entry, Incarnation::new(u64::MAX));
        let (_, latest) = self.entries.range(all).next_back()?;
        Some(*latest)
    }

    /// Whether an incarnation of an entry is registered.
    pub fn contains(&self, entry: EntryId, incarnation: Incarnation) -> bool {
        self.entries.contains(&(entry, incarnation))
    }

    /// Registers an incarnation; returns `false` unless it is later than the others of its entry.
    pub(crate) fn register(&mut self, entry: EntryId, incarnation: Incarnation) -> bool {
        let is_later = self.latest(entry).is_none_or(|last| last < incarnation);
        is_later && self.entries.insert((entry, incarnation))
    }

    /// Removes an incarnation; returns `false` if it was not registered.
    pub(crate) fn remove(&mut self, entry: EntryId, incarnation: Incarnation) -> bool {
        self.entries.remove(&(entry, incarnation))
    }
}
