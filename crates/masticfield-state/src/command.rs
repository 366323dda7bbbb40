//! Commands to the replicated state and their replies.

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::RequestId;
use masticfield_core::note::ReleaseNote;
use masticfield_core::operator::{NoteAccepted, Problem};
use serde::{Deserialize, Serialize};

/// A command with the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    at_ms: u64,
    command: Command,
}

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; a new leader commits it to learn what is committed.
    Nothing,
    /// Accepts a release note.
    Note(Box<ReleaseNote>),
    /// Claims idempotency keys.
    Claims(Vec<Claim>),
    /// Records how claimed requests ended.
    Ends(Vec<(ClaimKey, RequestId, ClaimEnd)>),
}

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It has no result.
    Nothing,
    /// Whether the note was accepted.
    Note(Result<NoteAccepted, Problem>),
    /// The verdicts, in the order of the claims.
    Claims(Vec<ClaimVerdict>),
}

impl Envelope {
    /// Wraps a command proposed at `at_ms` milliseconds since the Unix epoch.
    pub const fn new(at_ms: u64, command: Command) -> Self {
        Self { at_ms, command }
    }

    /// Milliseconds since the Unix epoch at the leader that proposed it.
    pub const fn at_ms(&self) -> u64 {
        self.at_ms
    }

    /// The command.
    pub const fn command(&self) -> &Command {
        &self.command
    }

    /// Writes the envelope into the payload of a log entry.
    ///
    /// # Errors
    ///
    /// Fails only if a value cannot be represented, which the types exclude.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Reads an envelope from the payload of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the payload is no envelope.
    pub fn decode(payload: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(payload)
    }
}
