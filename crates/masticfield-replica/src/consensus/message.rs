//! Messages between replicas.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Entry, Identity, Membership};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Envelope {
    /// Replica that sent the message.
    pub from: Identity,
    /// Replica that the message is for; any other one ignores it.
    pub to: Identity,
    /// The message itself.
    pub message: Message,
}

/// A message between replicas.
///
/// The encoding is positional: the order of variants and fields is part of the protocol.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    RequestVote {
        /// Term of the election; for a pre-vote, the term that the sender would start.
        term: u64,
        /// Whether this is a pre-vote, which binds neither side.
        pre_vote: bool,
        /// Index of the last entry in the candidate's log.
        last_index: u64,
        /// Term of the last entry in the candidate's log.
        last_term: u64,
    },
    /// Response to [`Message::RequestVote`].
    VoteResponse {
        /// Requested term if the vote is granted, else the current term of the voter.
        term: u64,
        /// Whether this responds to a pre-vote.
        pre_vote: bool,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Appends entries to the log of a follower; without entries, a heartbeat.
    AppendEntries {
        /// Term of the leader.
        term: u64,
        /// Index of the entry that directly precedes `entries`.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Entries to append, in the order of the log.
        entries: Vec<Entry>,
        /// Index of the last entry that the leader knows to be committed.
        leader_commit: u64,
        /// Clock of the leader when it sent this, from which its lease is counted.
        sent_at: Duration,
    },
    /// Response to [`Message::AppendEntries`] and to the last chunk of a snapshot.
    AppendResponse {
        /// Term of the follower.
        term: u64,
        /// Whether the entries were appended.
        result: AppendResult,
        /// `sent_at` of the message that this responds to.
        sent_at: Duration,
    },
    /// Sends one chunk of a snapshot to a follower whose missing entries are compacted.
    InstallSnapshot {
        /// Term of the leader.
        term: u64,
        /// Chunk of the snapshot.
        chunk: SnapshotChunk,
        /// Clock of the leader when it sent this, from which its lease is counted.
        sent_at: Duration,
    },
    /// Response to a chunk that did not complete the snapshot.
    SnapshotProgress {
        /// Term of the follower.
        term: u64,
        /// Index of the snapshot.
        index: u64,
        /// Bytes that the follower holds, counted from the start of the snapshot.
        received_bytes: u64,
        /// `sent_at` of the message that this responds to.
        sent_at: Duration,
    },
}

/// Outcome of appending entries to the log of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's durable log matches the leader's up to and including this index.
    Matched(u64),
    /// The entry that precedes the appended ones is missing or has another term.
    Rejected {
        /// Index of the entry that did not match.
        prev_index: u64,
        /// Index from which the leader should try next.
        retry_from: u64,
    },
    /// The follower has no space to store anything; the response only shows that it is alive.
    NotStored,
}

/// Part of a snapshot in transfer to a follower.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Index of the last entry that the snapshot includes.
    pub index: u64,
    /// Term of the entry at `index`.
    pub term: u64,
    /// Members of the group at `index`.
    pub members: Membership,
    /// Offset of this chunk in the snapshot, in bytes.
    pub offset: u64,
    /// Size of the whole snapshot, in bytes.
    pub total_bytes: u64,
    /// Bytes of this chunk.
    pub data: Bytes,
}

impl Message {
    /// Term that the message carries.
    pub const fn term(&self) -> u64 {
        match self {
            Self::RequestVote { term, .. }
            | Self::VoteResponse { term, .. }
            | Self::AppendEntries { term, .. }
            | Self::AppendResponse { term, .. }
            | Self::InstallSnapshot { term, .. }
            | Self::SnapshotProgress { term, .. } => *term,
        }
    }
}
