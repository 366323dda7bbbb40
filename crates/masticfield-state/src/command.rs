//! Commands that change the replicated state.

use std::net::SocketAddr;
use std::sync::Arc;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey};
use masticfield_core::fleet::{Generation, Planned};
use masticfield_core::ids::{EntryId, Incarnation, RequestId};
use masticfield_core::note::ReleaseNote;
use serde::{Deserialize, Serialize};

use crate::TaskEnd;

/// A command and the time at which the leader proposed it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    proposed_at_ms: u64,
    command: Command,
}

/// A change of the replicated state.
///
/// Commands are encoded by position: new variants must be added at the end, so that stored log
/// entries keep their meaning.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// No change; a new leader commits it to learn which entries are committed.
    Nothing,
    /// Submits a release note.
    Note(Box<ReleaseNote>),
    /// Claims idempotency keys for requests about to be dispatched.
    Claims(Vec<Claim>),
    /// Reports how claimed requests ended.
    ClaimEnds(Vec<(ClaimKey, RequestId, ClaimEnd)>),
    /// Applies the actions of a plan, each on its own.
    Actions(Vec<Planned>),
    /// Reports that a host holds no lease of a generation, according to the host itself.
    HostReport {
        /// Name of the host.
        host: Arc<str>,
        /// The generation that has drained.
        drained: Generation,
    },
    /// Reports that every lease on a host has expired, according to the leader.
    LeasesEnded {
        /// Name of the host.
        host: Arc<str>,
        /// The generation whose leases have expired.
        generation: Generation,
        /// The term of the leader that waited for the leases to expire.
        term: u64,
    },
    /// Reports that tasks have ended.
    TasksEnded(Vec<TaskEnd>),
    /// Drains a host on behalf of an operator, who holds it until [`Command::Undrain`].
    Drain {
        /// Name of the host.
        host: Arc<str>,
    },
    /// Returns a host that an operator holds to the planner.
    Undrain {
        /// Name of the host.
        host: Arc<str>,
    },
    /// Announces a new leader; the first command of its term, before it grants any lease.
    Lead {
        /// The term of the leader.
        term: u64,
        /// Addresses of the leader.
        addresses: LeaderAddresses,
    },
    /// Registers a new incarnation of an entry, before its first lease.
    EntryUp {
        /// The entry.
        entry: EntryId,
        /// The new incarnation of the entry.
        incarnation: Incarnation,
    },
    /// Removes an incarnation of an entry after its last lease has expired.
    EntryGone {
        /// The entry.
        entry: EntryId,
        /// The incarnation whose leases have expired.
        incarnation: Incarnation,
        /// The term of the leader that waited for the leases to expire.
        term: u64,
    },
    /// Reports that every entry serves a version or a later one, or holds no lease.
    InForce {
        /// The configuration version that is in force.
        version: u64,
    },
}

/// Addresses at which entries and operators reach the leader.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaderAddresses {
    /// Address for entries; `None` if the listener has no specific address.
    pub entry: Option<SocketAddr>,
    /// Address for operators; `None` if the listener has no specific address.
    pub operator: Option<SocketAddr>,
}

impl Envelope {
    /// Wraps a command that was proposed at `proposed_at_ms`, in milliseconds since the Unix epoch.
    pub const fn new(proposed_at_ms: u64, command: Command) -> Self {
        Self {
            proposed_at_ms,
            command,
        }
    }

    /// Wall-clock time of the proposing leader, in milliseconds since the Unix epoch.
    pub const fn proposed_at_ms(&self) -> u64 {
        self.proposed_at_ms
    }

    /// The wrapped command.
    pub const fn command(&self) -> &Command {
        &self.command
    }

    /// Encodes the envelope as the payload of a log entry.
    ///
    /// # Errors
    ///
    /// Fails only if a value cannot be represented, which the types rule out.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes an envelope from the payload of a log entry.
    ///
    /// # Errors
    ///
    /// Fails if the payload is not an encoded envelope.
    pub fn decode(payload: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(payload)
    }
}
