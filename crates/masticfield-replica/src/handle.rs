//! Handle of a running replica.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use tokio::sync::{mpsc, oneshot, watch};

use crate::consensus::{MembershipChange, MembershipChangeError};
use crate::runtime::{self, Request, TrafficCounter};
use crate::{
    Applied, Identity, Membership, OpenError, ProposeError, ReplicaOptions, ReplicaStatus, Traffic,
};

/// Maximum number of requests in the queue of a replica.
const MAX_REQUESTS: usize = 1_024;

/// Maximum size of a payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// Handle to a running replica; clones refer to the same one.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    requests: mpsc::Sender<Request>,
    status: watch::Receiver<ReplicaStatus>,
    members: watch::Receiver<Membership>,
    traffic: Arc<TrafficCounter>,
}

impl ReplicaHandle {
    /// Opens the data folder and starts the replica.
    ///
    /// Entries that were committed before are delivered again, from the latest snapshot on. The
    /// replica stops when the last handle or the receiver is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be written, is locked by another process, is corrupt or
    /// belongs to another replica, or if the replica cannot listen to its peers.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn open(
        options: ReplicaOptions,
    ) -> Result<(Self, mpsc::Receiver<Applied>), OpenError> {
        let (requests, rx) = mpsc::channel(MAX_REQUESTS);
        let started = runtime::start(options, rx).await?;
        let handle = Self {
            requests,
            status: started.status,
            members: started.members,
            traffic: started.traffic,
        };
        Ok((handle, started.applied))
    }

    /// Proposes a payload and waits until it is committed; returns its index.
    ///
    /// The payload has been passed to the receiver of [`Applied`] before this returns.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, has stopped or cannot determine the outcome, or if the
    /// payload is larger than [`MAX_PAYLOAD_BYTES`].
    pub async fn propose(&self, payload: Vec<u8>) -> Result<u64, ProposeError> {
        self.propose_all([payload]).await
    }

    /// Proposes payloads as consecutive entries of the log and waits until all are committed.
    ///
    /// Returns the index of the last one.
    ///
    /// # Errors
    ///
    /// As [`ReplicaHandle::propose`]. On [`ProposeError::Undecided`], any number of the payloads
    /// may be committed, always from the first on.
    pub async fn propose_all(
        &self,
        payloads: impl IntoIterator<Item = Vec<u8>>,
    ) -> Result<u64, ProposeError> {
        let payloads: Vec<_> = payloads.into_iter().map(Bytes::from).collect();
        if payloads
            .iter()
            .any(|payload| payload.len() > MAX_PAYLOAD_BYTES)
        {
            return Err(ProposeError::TooLarge);
        }
        let (reply, result) = oneshot::channel();
        let sent = self
            .requests
            .send(Request::Propose { payloads, reply })
            .await;
        sent.map_err(|_closed| ProposeError::Stopped)?;
        result.await.unwrap_or(Err(ProposeError::Undecided))
    }

    /// Stores the state of the application at `index`, so that the log up to there can be dropped.
    ///
    /// The state is delivered as [`AppliedKind::Snapshot`](crate::AppliedKind::Snapshot) after a
    /// restart, and to replicas whose missing entries have been dropped. The call has no effect if
    /// `index` is not committed yet or not beyond the last snapshot, or if the replica's queue is
    /// full; the next snapshot then takes its place.
    pub fn snapshot(&self, index: u64, state: Vec<u8>) {
        let data = Bytes::from(state);
        if self
            .requests
            .try_send(Request::Compact { index, data })
            .is_err()
        {
            log::warn!(index; "snapshot not stored: the replica's queue is full or it has stopped");
        }
    }

    /// Current status of the replica.
    pub fn status(&self) -> ReplicaStatus {
        *self.status.borrow()
    }

    /// Receiver that is woken when the status changes, other than by an extended lease.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// Members of the group according to this replica's log, whether committed or not.
    pub fn members(&self) -> Membership {
        self.members.borrow().clone()
    }

    /// Replaces the peers of the options, to which the replica connects.
    ///
    /// A replica that joins a group finds it through any peer that is in it. The initial members of
    /// a new group stay those of the options.
    ///
    /// # Errors
    ///
    /// Fails if the replica has stopped.
    pub async fn set_peers(
        &self,
        peers: impl IntoIterator<Item = (ReplicaId, SocketAddr)>,
    ) -> Result<(), ProposeError> {
        let peers = peers.into_iter().collect();
        let sent = self.requests.send(Request::SetPeers(peers)).await;
        sent.map_err(|_closed| ProposeError::Stopped)
    }

    /// Messages and bytes that this replica has sent to its peers since its start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.totals()
    }

    /// Adds a replica to the group: as a learner, then as a voter once it has caught up.
    ///
    /// The replica must be running and must have this one among its peers. A call after a failure
    /// continues where the previous attempt ended.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, the new one has not connected to it, or another change
    /// is not committed yet.
    pub async fn add(&self, id: ReplicaId) -> Result<(), MembershipChangeError> {
        let (peer, address) = self.find_peer(id).await?;
        let members = self.members();
        if members.is_voter(peer) {
            return Ok(());
        }
        if !members.is_learner(peer) {
            self.change_members(MembershipChange::AddLearner(peer, address))
                .await?;
        }
        self.promote(peer).await
    }

    /// Removes a replica from the group.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, the other one is not a member or is the last voter, or
    /// another change is not committed yet.
    pub async fn remove(&self, id: ReplicaId) -> Result<(), MembershipChangeError> {
        let member = self
            .members()
            .find(id)
            .ok_or(MembershipChangeError::NotApplicable)?;
        self.change_members(MembershipChange::Remove(member)).await
    }

    /// Adds a replica in place of another.
    ///
    /// If both have the same identifier, because a host returned without its disk, the old member
    /// is removed first; otherwise it is removed last.
    ///
    /// # Errors
    ///
    /// As [`ReplicaHandle::add`] and [`ReplicaHandle::remove`].
    pub async fn replace(
        &self,
        old: ReplicaId,
        new: ReplicaId,
    ) -> Result<(), MembershipChangeError> {
        let (peer, _) = self.find_peer(new).await?;
        let member = self.members().find(old);
        if old == new && self.members().is_voter(peer) {
            // The returning replica has not connected yet, or has been added before.
            return Err(MembershipChangeError::NotApplicable);
        }
        if old == new && member.is_some_and(|member| member != peer) {
            self.remove(old).await?;
        }
        self.add(new).await?;
        if old != new && member.is_some() {
            self.remove(old).await?;
        }
        Ok(())
    }

    async fn promote(&self, peer: Identity) -> Result<(), MembershipChangeError> {
        let mut status = self.watch_status();
        loop {
            match self.change_members(MembershipChange::Promote(peer)).await {
                Err(MembershipChangeError::NotCaughtUp) => {}
                result => return result,
            }
            let wait = tokio::time::timeout(runtime::TICK_INTERVAL, status.changed()).await;
            if let Ok(Err(_stopped)) = wait {
                return Err(MembershipChangeError::NotLeader);
            }
        }
    }

    async fn change_members(&self, change: MembershipChange) -> Result<(), MembershipChangeError> {
        let (reply, result) = oneshot::channel();
        let sent = self.requests.send(Request::Change { change, reply }).await;
        sent.map_err(|_closed| MembershipChangeError::NotLeader)?;
        result
            .await
            .unwrap_or(Err(MembershipChangeError::Undecided))
    }

    async fn find_peer(
        &self,
        id: ReplicaId,
    ) -> Result<(Identity, std::net::SocketAddr), MembershipChangeError> {
        let (reply, result) = oneshot::channel();
        let sent = self.requests.send(Request::FindPeer { id, reply }).await;
        sent.map_err(|_closed| MembershipChangeError::NotLeader)?;
        let found = result.await.ok().flatten();
        found.ok_or(MembershipChangeError::UnknownReplica)
    }
}
