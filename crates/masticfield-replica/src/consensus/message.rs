//! Messages between replicas.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Entry, Identity, Membership};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: Identity,
    /// The receiver.
    pub to: Identity,
    /// The message.
    pub message: Message,
}

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote.
    RequestVote {
        /// The term of the election.
        term: u64,
        /// Whether it only asks if a vote would be given.
        pre_vote: bool,
        /// Index of the last entry of the candidate.
        last_index: u64,
        /// Term of that entry.
        last_term: u64,
    },
    /// Answers a request for a vote.
    Vote {
        /// The term of the election; the voter's own if it is higher.
        term: u64,
        /// Whether it answers a pre-vote.
        pre_vote: bool,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Appends entries; without entries a heartbeat.
    Append {
        /// The term of the leader.
        term: u64,
        /// Index of the entry before the first one.
        prev_index: u64,
        /// Term of that entry.
        prev_term: u64,
        /// The entries.
        entries: Vec<Entry>,
        /// Index of the last entry that the leader knows to be committed.
        commit: u64,
        /// The leader's clock when it sent this, for its lease.
        sent: Duration,
    },
    /// Answers [`Message::Append`] and the last piece of a snapshot.
    Appended {
        /// The term of the follower.
        term: u64,
        /// What became of the entries.
        result: AppendResult,
        /// The clock of the leader, repeated.
        sent: Duration,
    },
    /// A piece of a snapshot.
    Snapshot {
        /// The term of the leader.
        term: u64,
        /// The piece.
        piece: SnapshotPiece,
        /// The leader's clock when it sent this.
        sent: Duration,
    },
    /// Answers a piece of a snapshot that is not the last.
    SnapshotReceived {
        /// The term of the follower.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Bytes that the follower holds, from the first on.
        bytes: u64,
        /// The clock of the leader, repeated.
        sent: Duration,
    },
}

/// Whether entries follow the log of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The logs match up to this index, durably.
    Matched(u64),
    /// The entry before the first one is missing or differs.
    Rejected {
        /// The index of that entry.
        prev_index: u64,
        /// The first index to try next.
        retry_from: u64,
    },
}

/// A piece of a snapshot on its way to a follower.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotPiece {
    /// Index of the snapshot.
    pub index: u64,
    /// Term of the entry at that index.
    pub term: u64,
    /// Members at that index.
    pub members: Membership,
    /// Offset of the piece, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot, in bytes.
    pub total: u64,
    /// The bytes.
    pub data: Bytes,
}

impl Message {
    /// The term that the message carries.
    pub const fn term(&self) -> u64 {
        match self {
            Self::RequestVote { term, .. }
            | Self::Vote { term, .. }
            | Self::Append { term, .. }
            | Self::Appended { term, .. }
            | Self::Snapshot { term, .. }
            | Self::SnapshotReceived { term, .. } => *term,
        }
    }
}
