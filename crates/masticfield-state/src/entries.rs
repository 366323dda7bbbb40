//! The entries that may hold a configuration lease.

use std::collections::BTreeSet;

use masticfield_core::ids::{EntryId, Incarnation};
use serde::{Deserialize, Serialize};

/// The entries that may hold a lease, each incarnation by itself.
///
/// An incarnation is registered before its first lease and removed once its last one has run
/// out, so that a new leader knows whom to wait for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryRoster {
    entries: BTreeSet<(EntryId, Incarnation)>,
}

impl EntryRoster {
    /// The registered incarnations.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, Incarnation)> {
        self.entries.iter().copied()
    }

    /// The latest registered incarnation of an entry.
    pub fn latest(&self, entry: EntryId) -> Option<Incarnation> {
        let all = (entry, Incarnation::new(0))..=(entry, Incarnation::new(u64::MAX));
        let (_, latest) = self.entries.range(all).next_back()?;
        Some(*latest)
    }

    /// Whether an incarnation is registered.
    pub fn contains(&self, entry: EntryId, incarnation: Incarnation) -> bool {
        self.entries.contains(&(entry, incarnation))
    }

    /// Registers an incarnation that is later than the others of its entry.
    pub(crate) fn register(&mut self, entry: EntryId, incarnation: Incarnation) -> bool {
        let later = self.latest(entry).is_none_or(|last| last < incarnation);
        later && self.entries.insert((entry, incarnation))
    }

    /// Removes an incarnation.
    pub(crate) fn remove(&mut self, entry: EntryId, incarnation: Incarnation) -> bool {
        self.entries.remove(&(entry, incarnation))
    }
}
