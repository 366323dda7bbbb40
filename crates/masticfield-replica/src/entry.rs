//! What a replica stores.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Identity, Membership};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended it.
    pub term: u64,
    /// What it holds.
    pub body: EntryBody,
}

/// Content of an [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryBody {
    /// Nothing; the first entry of a leader.
    Nothing,
    /// A payload of the application.
    Payload(Bytes),
    /// The members of the group from this entry on.
    Members(Membership),
}

/// What must be durable before a replica answers a candidate or a leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: u64,
    /// The candidate that got the vote of that term.
    pub vote: Option<Identity>,
}

/// State of the application up to an index, with what the log needs to go on from it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that it holds.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Members of the group at that entry.
    pub members: Membership,
    /// State of the application.
    pub data: Bytes,
}

/// A change of the stored state, in the order in which it must become durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends an entry and cuts the log from its index on first.
    Entry(Entry),
    /// Replaces everything up to the index of the snapshot.
    ///
    /// The log after the snapshot is kept if `keep_log` is set.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Whether the entries after the snapshot still hold.
        keep_log: bool,
    },
}

/// The stored state of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Stored {
    /// The hard state.
    pub hard_state: HardState,
    /// The latest snapshot, with index 0 if there is none.
    pub snapshot: Snapshot,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Stored {
    /// Index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Takes a write into the state, as reading it back from the disk does.
    ///
    /// Returns whether the write fits; an entry that would leave a gap does not.
    pub fn replay(&mut self, write: Write) -> bool {
        match write {
            Write::HardState(hard_state) => self.hard_state = hard_state,
            Write::Entry(entry) => return self.replay_entry(entry),
            Write::Snapshot { snapshot, keep_log } => self.replay_snapshot(snapshot, keep_log),
        }
        true
    }

    fn replay_entry(&mut self, entry: Entry) -> bool {
        // A crash between installing a snapshot and removing the log before it leaves entries
        // of earlier terms, which do not follow the snapshot.
        if entry.term < self.snapshot.term {
            return true;
        }
        if entry.index > self.last_index() + 1 {
            return false;
        }
        let Some(after) = entry.index.checked_sub(self.snapshot.index + 1) else {
            return true;
        };
        self.entries
            .truncate(usize::try_from(after).unwrap_or(usize::MAX));
        self.entries.push(entry);
        true
    }

    fn replay_snapshot(&mut self, snapshot: Snapshot, keep_log: bool) {
        if keep_log {
            let first = snapshot.index + 1;
            self.entries.retain(|entry| entry.index >= first);
        } else {
            self.entries.clear();
        }
        self.snapshot = snapshot;
    }
}
