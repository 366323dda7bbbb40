//! Commands to the replicated state.

use std::net::SocketAddr;
use std::sync::Arc;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey};
use masticfield_core::fleet::{Generation, Planned};
use masticfield_core::ids::{EntryId, Incarnation, RequestId};
use masticfield_core::note::ReleaseNote;
use serde::{Deserialize, Serialize};

use crate::TaskEnd;

/// A command with the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    at_ms: u64,
    command: Command,
}

/// A change of the replicated state.
///
/// New variants go to the end, so that older log entries keep their meaning.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Nothing; a new leader commits it to learn what is committed.
    Nothing,
    /// Accepts a release note.
    Note(Box<ReleaseNote>),
    /// Claims idempotency keys.
    Claims(Vec<Claim>),
    /// Records how claimed requests ended.
    ClaimEnds(Vec<(ClaimKey, RequestId, ClaimEnd)>),
    /// Carries out what the planner decided.
    Actions(Vec<Planned>),
    /// A host said that no lease of the generation is left on it.
    HostReport {
        /// The host.
        host: Arc<str>,
        /// The generation that has drained.
        drained: Generation,
    },
    /// The leader has waited out every lease on a host.
    LeasesEnded {
        /// The host.
        host: Arc<str>,
        /// The generation whose leases have run out.
        generation: Generation,
        /// The term of the leader that waited.
        term: u64,
    },
    /// Tasks ended.
    TasksEnded(Vec<TaskEnd>),
    /// An operator drains a host and keeps it.
    Drain {
        /// The host.
        host: Arc<str>,
    },
    /// An operator gives a host back.
    Undrain {
        /// The host.
        host: Arc<str>,
    },
    /// A replica leads; its first command, before it grants a lease.
    Lead {
        /// Its term.
        term: u64,
        /// Where it is reached.
        addresses: LeaderAddresses,
    },
    /// An entry asks for leases under a new incarnation.
    EntryUp {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Every lease of an entry has run out.
    EntryGone {
        /// The entry.
        entry: EntryId,
        /// The incarnation whose leases ran out.
        incarnation: Incarnation,
        /// The term of the leader that waited.
        term: u64,
    },
    /// Every entry serves the version or a later one, or holds no lease.
    InForce {
        /// The version.
        version: u64,
    },
}

/// Where the leader is reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaderAddresses {
    /// By entries.
    pub entry: Option<SocketAddr>,
    /// By operators.
    pub operator: Option<SocketAddr>,
}

impl Envelope {
    /// Wraps a command proposed at `at_ms` milliseconds since the Unix epoch.
    pub const fn new(at_ms: u64, command: Command) -> Self {
        Self { at_ms, command }
    }

    /// Milliseconds since the Unix epoch at the leader that proposed it.
    pub const fn proposed_at_ms(&self) -> u64 {
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
