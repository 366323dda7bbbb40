//! The entries of the installation, among which the slots of executors are shared out.

use std::collections::BTreeSet;

use masticfield_core::ids::EntryId;

/// The entries of the installation that are known, and those of them that are live.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Entries {
    me: EntryId,
    known: BTreeSet<EntryId>,
    live: BTreeSet<EntryId>,
    /// Number of entries in the installation, known or not.
    count: usize,
}

impl Entries {
    /// Creates the entries of an installation of `count`, of which only this one is known.
    pub(super) fn new(me: EntryId, count: usize) -> Self {
        let only_me = BTreeSet::from([me]);
        Self {
            me,
            known: only_me.clone(),
            live: only_me,
            count,
        }
    }

    /// Records that an entry is live.
    pub(super) fn mark_live(&mut self, entry: EntryId) {
        self.known.insert(entry);
        self.live.insert(entry);
    }

    /// Records that an entry is not live; this entry always is.
    pub(super) fn mark_down(&mut self, entry: EntryId) {
        if entry != self.me {
            self.live.remove(&entry);
        }
    }

    /// Returns all entries of the installation.
    ///
    /// Unknown entries are represented by numbers that no known entry has, so that a majority is
    /// always one of the whole installation.
    pub(super) fn all(&self) -> Vec<EntryId> {
        let unknown = self.count.saturating_sub(self.known.len());
        let placeholders = (0..=u16::MAX).rev().map(EntryId::new);
        let placeholders = placeholders.filter(|id| !self.known.contains(id));
        let known = self.known.iter().copied();
        known.chain(placeholders.take(unknown)).collect()
    }

    /// Returns the live entries.
    pub(super) fn live(&self) -> Vec<EntryId> {
        self.live.iter().copied().collect()
    }
}
