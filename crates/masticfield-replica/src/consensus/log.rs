//! In-memory log of a replica.

use bytes::Bytes;

use crate::{Entry, EntryBody, Membership, PersistentState, Snapshot};

/// The latest snapshot and the entries after it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    members: Membership,
    members_index: u64,
}

impl Log {
    /// Creates the log from the state read back from disk.
    pub fn new(stored: PersistentState) -> Self {
        let mut log = Self {
            snapshot: stored.snapshot,
            entries: stored.entries,
            members: Membership::default(),
            members_index: 0,
        };
        log.refresh_members();
        log
    }

    /// The latest snapshot; its index is 0 if there is none.
    pub const fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Members by the last entry that changes them, committed or not.
    pub const fn members(&self) -> &Membership {
        &self.members
    }

    /// Index of the entry, or of the snapshot, that defines [`members`](Self::members).
    pub const fn members_index(&self) -> u64 {
        self.members_index
    }

    /// Index of the last entry; that of the snapshot if no entry follows it.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the entry at [`last_index`](Self::last_index).
    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Term of the entry at `index`, or `None` if it is compacted or beyond the end.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, or `None` if it is compacted or beyond the end.
    pub fn entry(&self, index: u64) -> Option<&Entry> {
        self.entries.get(self.position(index)?)
    }

    /// Entries from `index` on; all entries if `index` is compacted.
    pub fn entries_from(&self, index: u64) -> &[Entry] {
        let start = self.position(index).unwrap_or(0);
        self.entries.get(start..).unwrap_or(&[])
    }

    /// First index of the run of entries that have the same term as the one at `index`.
    pub(super) fn first_index_of_term(&self, index: u64) -> u64 {
        let term = self.term(index);
        let mut first = index;
        while first > self.snapshot.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry, first truncating the log from the entry's index on.
    pub(super) fn append(&mut self, entry: Entry) {
        let Some(position) = self.position(entry.index) else {
            return;
        };
        let truncates_members = entry.index <= self.members_index;
        self.entries.truncate(position);
        let changes_members = matches!(entry.body, EntryBody::Members(_));
        self.entries.push(entry);
        if truncates_members || changes_members {
            self.refresh_members();
        }
    }

    /// Replaces the entries up to `index`, which must be in the log, by the application's state.
    pub(super) fn compact(&mut self, index: u64, data: Bytes) {
        let term = self.term(index).unwrap_or_default();
        let kept = self.entries_from(index + 1).to_vec();
        let dropped = self.entries.len() - kept.len();
        let members = self.latest_members(&self.entries[..dropped]).0.clone();
        self.snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        self.entries = kept;
    }

    /// Installs a snapshot of the leader; returns whether the entries after it were kept.
    pub(super) fn install_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let keep_log = self.term(snapshot.index) == Some(snapshot.term);
        if keep_log {
            self.entries = self.entries_from(snapshot.index + 1).to_vec();
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
        self.refresh_members();
        keep_log
    }

    fn position(&self, index: u64) -> Option<usize> {
        usize::try_from(index.checked_sub(self.snapshot.index + 1)?).ok()
    }

    fn refresh_members(&mut self) {
        let (members, index) = self.latest_members(&self.entries);
        (self.members, self.members_index) = (members.clone(), index);
    }

    /// Members after the given entries, and the index that defines them.
    fn latest_members<'a>(&'a self, entries: &'a [Entry]) -> (&'a Membership, u64) {
        let latest = entries.iter().rev().find_map(|entry| match &entry.body {
            EntryBody::Members(members) => Some((members, entry.index)),
            _ => None,
        });
        latest.unwrap_or((&self.snapshot.members, self.snapshot.index))
    }
}
