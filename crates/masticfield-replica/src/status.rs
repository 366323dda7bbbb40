//! Status of a replica and what it delivers to the application.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_core::ids::ReplicaId;

/// A committed payload or snapshot, delivered in the order of the log.
///
/// Indexes rise but leave gaps, as the log also holds entries of the group itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Index in the log, from 1; for a snapshot, that of the last entry it includes.
    pub index: u64,
    /// Payload as it was proposed, or encoded state of a snapshot.
    pub payload: Arc<[u8]>,
    /// Whether this is a single payload or a snapshot.
    pub kind: AppliedKind,
}

/// Kind of an [`Applied`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppliedKind {
    /// A payload that was proposed.
    Payload,
    /// State that replaces everything up to its index, as passed to
    /// [`ReplicaHandle::snapshot`](crate::ReplicaHandle::snapshot).
    Snapshot,
}

/// A replica's view of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the conditions are independent of each other"
)]
pub struct ReplicaStatus {
    /// Identifier of this replica.
    pub id: ReplicaId,
    /// Leader of the current term; `None` if it is not known.
    pub leader: Option<ReplicaId>,
    /// Time by [`boot_now`] of the last contact by a leader, or of the start or of stepping down if
    /// that was later.
    ///
    /// Receivers of the status are not woken when only this time changes.
    pub last_contact: Duration,
    /// Current term; 0 before a group is formed.
    pub term: u64,
    /// Index of the last committed payload or snapshot, which is or will be delivered.
    pub committed: u64,
    /// Time by [`boot_now`] until which no other replica can lead; `None` without a lease.
    ///
    /// A leader answers reads and grants leases only before this time, which it must compare with
    /// the clock on each use. The state that it reads is complete once it has applied `committed`.
    /// Receivers of the status are not woken when the lease is only extended.
    pub lease_until: Option<Duration>,
    /// Whether the replica has stopped because its disk has failed.
    pub storage_failed: bool,
    /// Whether the data folder cannot be written for lack of space.
    ///
    /// The replica neither leads nor votes nor stores entries until there is space.
    pub lacks_space: bool,
    /// Whether this replica leads, but so many voters lack space that nothing can be committed.
    ///
    /// It still answers reads under its lease. Payloads that are proposed are committed later, or
    /// not at all if another replica takes the lead.
    pub majority_lacks_space: bool,
    /// Whether a snapshot should be taken now, as the disk has hardly more space than it needs.
    ///
    /// Set only with [`ReplicaOptions::disk_bytes`](crate::ReplicaOptions::disk_bytes).
    pub needs_compaction: bool,
    /// Whether the replica is a voter of its group.
    pub is_voter: bool,
}

impl ReplicaStatus {
    /// Whether this replica leads and no other one can lead at this moment.
    pub fn holds_lease(&self) -> bool {
        self.lease_until.is_some_and(|until| boot_now() < until)
    }
}

/// Messages and bytes that a replica has sent to its peers since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent, without the handshake and hello that open a connection.
    pub sent_messages: u64,
    /// Bytes of these messages with their framing, without TCP headers.
    pub sent_bytes: u64,
}
