//! Log entries and the other state that a replica persists.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Identity, Membership};

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log, from 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content of the entry.
    pub body: EntryBody,
}

/// Content of an [`Entry`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EntryBody {
    /// No content; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// Payload of the application.
    Payload(Bytes),
    /// Members of the group, in effect as soon as the entry is appended.
    Members(Membership),
}

/// State that must be durable before a replica responds to a candidate or leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term that the replica has seen; 0 if it has never been in a group.
    pub term: u64,
    /// Candidate that the replica voted for in this term.
    pub vote: Option<Identity>,
}

/// State of the application at an index, which replaces the log up to there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Members of the group at `index`.
    pub members: Membership,
    /// Encoded state of the application.
    pub data: Bytes,
}

/// A change of the persistent state. Writes become durable in the order in which they are issued.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Write {
    /// Replaces the hard state.
    HardState(HardState),
    /// Appends an entry, first truncating the log from the entry's index on.
    Entry(Entry),
    /// Replaces the previous snapshot and the log up to the index of this one.
    Snapshot {
        /// The new snapshot.
        snapshot: Snapshot,
        /// Whether the entries after the snapshot remain valid; otherwise they are dropped.
        keep_log: bool,
    },
}

/// State that a replica reads back from its data folder.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot; its index is 0 if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Index of the last entry; that of the snapshot if no entry follows it.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Applies a write in the same way as recovery from disk does.
    ///
    /// Returns `false` if the write is an entry that would leave a gap in the log.
    pub fn replay(&mut self, write: Write) -> bool {
        match write {
            Write::HardState(hard_state) => self.hard_state = hard_state,
            Write::Entry(entry) => return self.replay_entry(entry),
            Write::Snapshot { snapshot, keep_log } => self.replay_snapshot(snapshot, keep_log),
        }
        true
    }

    fn replay_entry(&mut self, entry: Entry) -> bool {
        // A crash between installing a snapshot and removing the log before it leaves entries of
        // earlier terms, which do not belong after the snapshot.
        if entry.term < self.snapshot.term {
            return true;
        }
        if entry.index > self.last_index() + 1 {
            return false;
        }
        let Some(position) = entry.index.checked_sub(self.snapshot.index + 1) else {
            return true;
        };
        self.entries
            .truncate(usize::try_from(position).unwrap_or(usize::MAX));
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
