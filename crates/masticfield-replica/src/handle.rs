//! The handle of a running replica.

use std::sync::Arc;

use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use tokio::sync::{mpsc, oneshot, watch};

use crate::consensus::{Change, ChangeError};
use crate::runtime::{self, Request, TrafficCounter};
use crate::{
    Applied, Identity, Membership, OpenError, ProposeError, ReplicaOptions, ReplicaStatus, Traffic,
};

/// Requests that wait for the replica, at most.
const MAX_REQUESTS: usize = 1_024;

/// Largest payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1024 * 1024;

/// Proposes payloads to the group and reads the replica's status.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    tx: mpsc::Sender<Request>,
    status: watch::Receiver<ReplicaStatus>,
    members: watch::Receiver<Membership>,
    traffic: Arc<TrafficCounter>,
}

impl ReplicaHandle {
    /// Opens the data folder and starts the replica.
    ///
    /// Every entry already committed is delivered again, from the latest snapshot on. The
    /// replica stops when the last handle or the receiver is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written, is locked by another process, or is damaged, or
    /// if the replica cannot listen.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn open(
        options: ReplicaOptions,
    ) -> Result<(Self, mpsc::Receiver<Applied>), OpenError> {
        let (tx, rx) = mpsc::channel(MAX_REQUESTS);
        let started = runtime::start(options, rx).await?;
        let handle = Self {
            tx,
            status: started.status,
            members: started.members,
            traffic: started.traffic,
        };
        Ok((handle, started.applied))
    }

    /// Proposes a payload and waits until it is committed; returns its index.
    ///
    /// The entry has been handed to the receiver of [`Applied`] before this returns.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, has stopped, or cannot tell the outcome, or if the
    /// payload is larger than [`MAX_PAYLOAD_BYTES`].
    pub async fn propose(&self, payload: Vec<u8>) -> Result<u64, ProposeError> {
        self.propose_all([payload]).await
    }

    /// Proposes payloads that follow each other in the log, and waits until all are committed;
    /// returns the index of the last one.
    ///
    /// # Errors
    ///
    /// As [`ReplicaHandle::propose`]; if the outcome is not known, the first of the payloads may be
    /// committed without the others.
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
        let sent = self.tx.send(Request::Propose { payloads, reply }).await;
        sent.map_err(|_closed| ProposeError::Stopped)?;
        result.await.unwrap_or(Err(ProposeError::Undecided))
    }

    /// Stores the state of the application up to `index`, so that the log before it can go.
    ///
    /// The state is delivered again as [`AppliedKind::Snapshot`](crate::AppliedKind::Snapshot)
    /// after a restart, and to replicas that are too far behind for the log. An index that is
    /// not committed yet, or is older than the last snapshot, changes nothing. Nor does a call
    /// while the replica's queue is full; the caller's next snapshot makes up for it.
    pub fn snapshot(&self, index: u64, state: Vec<u8>) {
        let data = Bytes::from(state);
        if self.tx.try_send(Request::Compact { index, data }).is_err() {
            log::warn!(index; "a snapshot was not stored, as the replica is busy or has stopped");
        }
    }

    /// What the replica knows of its group now.
    pub fn status(&self) -> ReplicaStatus {
        *self.status.borrow()
    }

    /// A receiver of changes of the status.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }

    /// The members of the group, by the last entry of this replica's log that names them.
    pub fn members(&self) -> Membership {
        self.members.borrow().clone()
    }

    /// What this replica has sent to its peers since its start.
    pub fn traffic(&self) -> Traffic {
        self.traffic.traffic()
    }

    /// Lets a replica join: it learns, and votes once it has caught up.
    ///
    /// The replica must run and name this one among its peers. Asking again after a failure
    /// goes on where the first attempt ended.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, the new one is not known, or a change is under way.
    pub async fn add(&self, id: ReplicaId) -> Result<(), ChangeError> {
        let (peer, address) = self.find_peer(id).await?;
        let members = self.members();
        if members.is_voter(peer) {
            return Ok(());
        }
        if !members.is_learner(peer) {
            self.change(Change::AddLearner(peer, address)).await?;
        }
        self.promote(peer).await
    }

    /// Removes a replica from the group.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, the other is no member or the last voter, or a
    /// change is under way.
    pub async fn remove(&self, id: ReplicaId) -> Result<(), ChangeError> {
        let member = self.members().find(id).ok_or(ChangeError::NoChange)?;
        self.change(Change::Remove(member)).await
    }

    /// Lets a replica join in place of another.
    ///
    /// If both have the same identifier, because the host came back without its disk, the old
    /// member goes first.
    ///
    /// # Errors
    ///
    /// As [`ReplicaHandle::add`] and [`ReplicaHandle::remove`].
    pub async fn replace(&self, old: ReplicaId, new: ReplicaId) -> Result<(), ChangeError> {
        let (peer, _) = self.find_peer(new).await?;
        let member = self.members().find(old);
        if old == new && self.members().is_voter(peer) {
            // The replica that is to come has not connected, or was taken in before.
            return Err(ChangeError::NoChange);
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

    async fn promote(&self, peer: Identity) -> Result<(), ChangeError> {
        let mut status = self.watch_status();
        loop {
            match self.change(Change::Promote(peer)).await {
                Err(ChangeError::NotCaughtUp) => {}
                result => return result,
            }
            let wait = tokio::time::timeout(runtime::TICK, status.changed()).await;
            if let Ok(Err(_stopped)) = wait {
                return Err(ChangeError::NotLeader);
            }
        }
    }

    async fn change(&self, change: Change) -> Result<(), ChangeError> {
        let (reply, result) = oneshot::channel();
        let sent = self.tx.send(Request::Change { change, reply }).await;
        sent.map_err(|_closed| ChangeError::NotLeader)?;
        result.await.unwrap_or(Err(ChangeError::Undecided))
    }

    async fn find_peer(
        &self,
        id: ReplicaId,
    ) -> Result<(Identity, std::net::SocketAddr), ChangeError> {
        let (reply, result) = oneshot::channel();
        let sent = self.tx.send(Request::FindPeer { id, reply }).await;
        sent.map_err(|_closed| ChangeError::NotLeader)?;
        let found = result.await.ok().flatten();
        found.ok_or(ChangeError::Unknown)
    }
}
