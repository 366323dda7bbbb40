//! The log of a replica in memory.

use bytes::Bytes;

use crate::{Entry, EntryBody, Membership, Snapshot, Stored};

/// The entries after the latest snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    members: Membership,
    members_index: u64,
}

impl Log {
    /// Takes what is stored.
    pub fn new(stored: Stored) -> Self {
        let mut log = Self {
            snapshot: stored.snapshot,
            entries: stored.entries,
            members: Membership::default(),
            members_index: 0,
        };
        log.find_members();
        log
    }

    /// The latest snapshot; its index is 0 if there is none.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The members by the last entry that names them, committed or not.
    pub const fn members(&self) -> &Membership {
        &self.members
    }

    /// Index of the entry that names the [`members`](Self::members).
    pub const fn members_index(&self) -> u64 {
        self.members_index
    }

    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at `index`, if the log still tells it.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, unless it is in the snapshot or beyond the end.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// The entries from `index` on.
    pub fn entries_from(&self, index: u64) -> &[Entry] {
        let start = self.position(index).unwrap_or(0);
        self.entries.get(start..).unwrap_or(&[])
    }

    /// First index whose entry has the same term as the one at `index`.
    pub(super) fn first_of_term(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut first = index;
        while first > self.snapshot.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry after cutting the log from its index on.
    pub(super) fn append(&mut self, entry: Entry) {
        let Some(position) = self.position(entry.index) else {
            return;
        };
        let cut_members = entry.index <= self.members_index;
        self.entries.truncate(position);
        let names_members = matches!(entry.body, EntryBody::Members(_));
        self.entries.push(entry);
        if cut_members || names_members {
            self.find_members();
        }
    }

    /// Drops the entries up to `index`, which is in the log, for the state that they led to.
    pub(super) fn compact(&mut self, index: u64, data: Bytes) {
        let term = self.term(index).unwrap_or_default();
        let kept = self.entries_from(index + 1).to_vec();
        let dropped = self.entries.len() - kept.len();
        let members = self.members_in(&self.entries[..dropped]).0.clone();
        self.snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.entries = kept;
    }

    /// Takes a snapshot of the leader; says whether the entries after it still hold.
    pub(super) fn install(&mut self, snapshot: Snapshot) -> bool {
        let keep_log = self.term(snapshot.index) == Some(snapshot.term);
        if keep_log {
            self.entries = self.entries_from(snapshot.index + 1).to_vec();
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        self.find_members();
        keep_log
    }

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.snapshot.index + 1)?).ok()
    }

    fn find_members(&mut self) {
        let (members, index) = self.members_in(&self.entries);
        (self.members, self.members_index) = (members.clone(), index);
    }

    /// The members after the given entries and the index that names them.
    fn members_in<'a>(&'a self, entries: &'a [Entry]) -> (&'a Membership, u64) {
        let named = entries.iter().rev().find_map(|entry| match &entry.body {
            EntryBody::Members(members) => Some((members, entry.index)),
            _ => None,
        });
        named.unwrap_or((&self.snapshot.members, self.snapshot.index))
    }
}
