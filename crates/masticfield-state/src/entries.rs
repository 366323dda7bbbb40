//! The entries that may hold a configuration lease.

use std::collections::BTreeMap;

use masticfield_core::ids::{EntryId, Incarnation};
use serde::{Deserialize, Serialize};

/// The entries that may hold a lease, with the latest incarnation of each.
///
/// An entry is registered before its first lease and removed once its last one has run out, so
/// that a new leader knows whom to wait for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryRoster {
    entries: BTreeMap<EntryId, Incarnation>,
}

impl EntryRoster {
    /// The registered entries.
    pub fn iter(&self) -> impl Iterator<Item = (EntryId, Incarnation)> {
        self.entries
            .iter()
            .map(|(entry, incarnation)| (*entry, *incarnation))
    }

    /// The latest incarnation of an entry, if it is registered.
    pub fn incarnation(&self, entry: EntryId) -> Option<Incarnation> {
        self.entries.get(&entry).copied()
    }

    /// Registers an entry; says whether its earlier incarnation is replaced or it is new.
    pub(crate) fn register(&mut self, entry: EntryId, incarnation: Incarnation) -> bool {
        let last = self.incarnation(entry);
        let news = last.is_none_or(|last| last < incarnation);
        if news {
            self.entries.insert(entry, incarnation);
        }
        news
    }

    /// Removes an entry if this is its latest incarnation.
    pub(crate) fn remove(&mut self, entry: EntryId, incarnation: Incarnation) -> bool {
        let latest = self.incarnation(entry) == Some(incarnation);
        if latest {
            self.entries.remove(&entry);
        }
        latest
    }
}
