//! The entries of the installation as the router needs them.

use std::collections::BTreeSet;

use masticfield_core::ids::EntryId;

/// All entries, and those that are live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entries {
    me: EntryId,
    known: BTreeSet<EntryId>,
    live: BTreeSet<EntryId>,
    count: usize,
}

impl Entries {
    /// Creates the entries before any peer is heard of; there are `count` in all.
    pub(super) fn new(me: EntryId, count: usize) -> Self {
        let alone = BTreeSet::from([me]);
        Self {
            me,
            known: alone.clone(),
            live: alone,
            count,
        }
    }

    /// Notes that an entry is live.
    pub(super) fn up(&mut self, entry: EntryId) {
        self.known.insert(entry);
        self.live.insert(entry);
    }

    /// Notes that an entry is not live.
    pub(super) fn down(&mut self, entry: EntryId) {
        if entry != self.me {
            self.live.remove(&entry);
        }
    }

    /// All entries of the installation.
    ///
    /// An entry that was never heard of counts under a number that no entry
    /// has, so that a majority is always one of the whole installation.
    pub(super) fn all(&self) -> Vec<EntryId> {
        let unheard = self.count.saturating_sub(self.known.len());
        let placeholders = (0..=u16::MAX).rev().map(EntryId::new);
        let placeholders = placeholders.filter(|id| !self.known.contains(id));
        let known = self.known.iter().copied();
        known.chain(placeholders.take(unheard)).collect()
    }

    /// The entries that are live.
    pub(super) fn live(&self) -> Vec<EntryId> {
        self.live.iter().copied().collect()
    }
}
