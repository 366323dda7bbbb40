//! What a replica tells of itself.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_core::ids::ReplicaId;

/// A committed entry, delivered in the order of the log.
///
/// Indexes rise but may leave gaps, where the log holds entries of the group itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Index in the log, from 1.
    pub index: u64,
    /// The payload as proposed, or the state of a snapshot.
    pub payload: Arc<[u8]>,
    /// What the payload is.
    pub kind: AppliedKind,
}

/// What the payload of an [`Applied`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppliedKind {
    /// A payload that was proposed.
    Payload,
    /// State that replaces everything up to its index, as given to
    /// [`ReplicaHandle::snapshot`](crate::ReplicaHandle::snapshot).
    Snapshot,
}

/// What a replica knows of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica itself.
    pub id: ReplicaId,
    /// The leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// The current term.
    pub term: u64,
    /// Index of the last committed payload or snapshot, which is or will be delivered.
    pub committed: u64,
    /// Until when no other replica can lead, if this one leads, by [`boot_now`].
    ///
    /// A leader answers reads and gives leases only before this moment, which it compares with
    /// the clock each time. The state that it reads is complete once it has applied `committed`.
    /// A watch is not woken for a moment that moves on.
    pub lease_until: Option<Duration>,
    /// Whether the replica has stopped because its disk is full or failed.
    pub storage_failed: bool,
    /// Whether the replica votes in its group.
    pub voter: bool,
}

impl ReplicaStatus {
    /// Whether the replica leads and no other can at this moment.
    pub fn holds_lease(&self) -> bool {
        self.lease_until.is_some_and(|until| boot_now() < until)
    }
}

/// What a replica has sent to its peers since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages.
    pub sent_messages: u64,
    /// Bytes of the messages and their frames, without the headers of TCP.
    pub sent_bytes: u64,
}
