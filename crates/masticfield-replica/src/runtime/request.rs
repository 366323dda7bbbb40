//! Requests of the handle to a running replica.

use std::net::SocketAddr;

use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use tokio::sync::oneshot;

use super::deliver::ProposeReply;
use super::running::RunningReplica;
use crate::consensus::{Appended, Event, MembershipChange, MembershipChangeError};
use crate::{Identity, ProposeError};

/// A request of the handle.
#[derive(Debug)]
pub(crate) enum Request {
    /// Appends payloads as consecutive entries; the reply is sent once the last one is committed.
    Propose {
        payloads: Vec<Bytes>,
        reply: ProposeReply,
    },
    /// Replaces the log up to `index` by a snapshot.
    Compact { index: u64, data: Bytes },
    /// Changes the members of the group; the reply is sent once the change is committed.
    Change {
        change: MembershipChange,
        reply: ChangeReply,
    },
    /// Replaces the configured peers.
    SetPeers(Vec<(ReplicaId, SocketAddr)>),
    /// Looks up the identity and address of a peer that has made contact, or of this replica.
    FindPeer {
        id: ReplicaId,
        reply: oneshot::Sender<Option<(Identity, SocketAddr)>>,
    },
}

type ChangeReply = oneshot::Sender<Result<(), MembershipChangeError>>;

/// Reply to send once an entry is committed.
#[derive(Debug)]
pub(super) enum PendingReply {
    Proposal(ProposeReply),
    Change(ChangeReply),
}

impl RunningReplica {
    /// Handles a batch of requests; the payloads of all its proposals share one step.
    pub(super) fn handle_requests(&mut self, requests: impl Iterator<Item = Request>) {
        let (mut payloads, mut replies) = (Vec::new(), Vec::new());
        for request in requests {
            match request {
                Request::Propose {
                    payloads: more,
                    reply,
                } => {
                    payloads.extend(more);
                    replies.push((payloads.len(), reply));
                }
                Request::Compact { index, data } => {
                    self.step(Event::Compact { index, data });
                }
                Request::Change { change, reply } => self.change_members(change, reply),
                Request::SetPeers(peers) => self.set_peers(peers),
                Request::FindPeer { id, reply } => drop(reply.send(self.find_peer(id))),
            }
        }
        if !payloads.is_empty() {
            self.propose(payloads, replies);
        }
    }

    /// Identity and address of a peer that has made contact, or of this replica.
    ///
    /// A replica is asked for itself if it leads once it has been added, and the change is repeated.
    fn find_peer(&self, id: ReplicaId) -> Option<(Identity, SocketAddr)> {
        let own = self.hello.borrow();
        if own.identity.id() == id {
            return Some((own.identity, own.address));
        }
        self.known_peers.find(id)
    }

    /// Proposes payloads. Each reply comes with the number of payloads up to its last one.
    fn propose(&mut self, payloads: Vec<Bytes>, replies: Vec<(usize, ProposeReply)>) {
        let (appended, _) = self.step(Event::Propose(payloads));
        let leader = self.replica.leader().map(Identity::id);
        match appended {
            Some(Appended { first, .. }) => {
                let pending = replies.into_iter().map(|(count, reply)| {
                    let last = first + (count as u64).saturating_sub(1);
                    (last, PendingReply::Proposal(reply))
                });
                self.pending_replies.extend(pending);
            }
            None => replies
                .into_iter()
                .for_each(|(_, reply)| drop(reply.send(Err(ProposeError::NotLeader { leader })))),
        }
    }

    fn change_members(&mut self, change: MembershipChange, reply: ChangeReply) {
        match self.step(Event::Change(change)) {
            (Some(appended), _) => {
                self.pending_replies
                    .insert(appended.first, PendingReply::Change(reply));
            }
            (None, refused) => {
                _ = reply.send(Err(refused.unwrap_or(MembershipChangeError::NotLeader)));
            }
        }
    }

    /// Once this replica no longer leads, sends all pending replies, as it may never learn whether
    /// their entries are committed.
    pub(super) fn settle_pending_replies(&mut self) {
        if self.replica.is_leader() {
            return;
        }
        let committed = self.replica.commit_index();
        for (index, pending) in std::mem::take(&mut self.pending_replies) {
            match pending {
                // A leader steps down when the change that removes it is committed.
                PendingReply::Change(reply) if index <= committed => _ = reply.send(Ok(())),
                PendingReply::Change(reply) => {
                    _ = reply.send(Err(MembershipChangeError::Undecided));
                }
                PendingReply::Proposal(reply) => drop(reply.send(Err(ProposeError::Undecided))),
            }
        }
    }
}
