//! What the handle asks of a running replica.

use std::net::SocketAddr;

use bytes::Bytes;
use masticfield_core::ids::ReplicaId;
use tokio::sync::oneshot;

use super::deliver::ProposeReply;
use super::running::Running;
use crate::consensus::{Appended, Change, ChangeError, Event};
use crate::{Identity, ProposeError};

/// What the handle asks for.
#[derive(Debug)]
pub(crate) enum Request {
    /// Payloads that follow each other; the reply is for the last one.
    Propose {
        payloads: Vec<Bytes>,
        reply: ProposeReply,
    },
    Compact {
        index: u64,
        data: Bytes,
    },
    Change {
        change: Change,
        reply: ChangeReply,
    },
    FindPeer {
        id: ReplicaId,
        reply: oneshot::Sender<Option<(Identity, SocketAddr)>>,
    },
}

type ChangeReply = oneshot::Sender<Result<(), ChangeError>>;

/// Who waits for an entry.
#[derive(Debug)]
pub(super) enum Waiter {
    Proposal(ProposeReply),
    Change(ChangeReply),
}

impl Running {
    pub(super) fn take_requests(&mut self, requests: impl Iterator<Item = Request>) {
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
                Request::Change { change, reply } => self.change(change, reply),
                Request::FindPeer { id, reply } => drop(reply.send(self.heard.find(id))),
            }
        }
        if !payloads.is_empty() {
            self.propose(payloads, replies);
        }
    }

    /// Proposes payloads; each reply is for the last of so many of them.
    fn propose(&mut self, payloads: Vec<Bytes>, replies: Vec<(usize, ProposeReply)>) {
        let (appended, _) = self.step(Event::Propose(payloads));
        let leader = self.replica.leader().map(Identity::id);
        match appended {
            Some(Appended { first, .. }) => {
                let waiters = replies.into_iter().map(|(many, reply)| {
                    let last = first + (many as u64).saturating_sub(1);
                    (last, Waiter::Proposal(reply))
                });
                self.waiters.extend(waiters);
            }
            None => replies
                .into_iter()
                .for_each(|(_, reply)| drop(reply.send(Err(ProposeError::NotLeader { leader })))),
        }
    }

    fn change(&mut self, change: Change, reply: ChangeReply) {
        match self.step(Event::Change(change)) {
            (Some(appended), _) => {
                self.waiters.insert(appended.first, Waiter::Change(reply));
            }
            (None, refused) => {
                _ = reply.send(Err(refused.unwrap_or(ChangeError::NotLeader)));
            }
        }
    }

    /// Answers everyone who waits for an entry that this replica may not see committed.
    pub(super) fn settle_waiters(&mut self) {
        if self.replica.is_leader() {
            return;
        }
        let committed = self.replica.commit();
        for (index, waiter) in std::mem::take(&mut self.waiters) {
            match waiter {
                // The leader has removed itself.
                Waiter::Change(reply) if index <= committed => _ = reply.send(Ok(())),
                Waiter::Change(reply) => _ = reply.send(Err(ChangeError::Undecided)),
                Waiter::Proposal(reply) => drop(reply.send(Err(ProposeError::Undecided))),
            }
        }
    }
}
