//! Peers that have made contact, and how replicas without state form a group.
//!
//! The initial member with the lowest identifier forms the group once every other one has reported
//! that it holds no state and names the same initial members. A replica that lost its disk can
//! therefore never form a second group beside its previous one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::ids::ReplicaId;

use super::message::Hello;
use crate::reconciler::{HELLO_VALIDITY, JoiningReplica};
use crate::{Identity, Membership};

/// Last hello of each peer.
#[derive(Debug, Default)]
pub(super) struct KnownPeers {
    hellos: BTreeMap<ReplicaId, ReceivedHello>,
}

/// Last hello of a peer.
#[derive(Debug)]
struct ReceivedHello {
    hello: Hello,
    received_at: Duration,
    /// When the previous hello was received, if it came from the same identity.
    previous_at: Option<Duration>,
}

impl KnownPeers {
    /// Records the hello of a peer.
    pub(super) fn record(&mut self, now: Duration, hello: Hello) {
        let last = self.hellos.get(&hello.identity.id());
        let same = last.filter(|last| last.hello.identity == hello.identity);
        let previous_at = same.map(|last| last.received_at);
        let received = ReceivedHello {
            previous_at,
            received_at: now,
            hello,
        };
        self.hellos.insert(received.hello.identity.id(), received);
    }

    /// Replicas outside the group whose last hello is recent.
    pub(super) fn joining(&self, now: Duration, group: &Membership) -> Vec<JoiningReplica> {
        let is_recent = |at: Duration| now.saturating_sub(at) <= HELLO_VALIDITY;
        let hellos = self.hellos.values();
        hellos
            .filter(|last| is_recent(last.received_at) && !group.contains(last.hello.identity))
            .map(|last| JoiningReplica {
                identity: last.hello.identity,
                address: last.hello.address,
                repeated: last.previous_at.is_some_and(is_recent),
            })
            .collect()
    }

    /// Identity and address of a peer, if it has made contact.
    pub(super) fn find(&self, id: ReplicaId) -> Option<(Identity, SocketAddr)> {
        let hello = &self.hellos.get(&id)?.hello;
        Some((hello.identity, hello.address))
    }

    /// Group to form, if this replica is the one to form it and all initial members agree.
    ///
    /// `own` is the hello that this replica sends itself.
    pub(super) fn initial_group(&self, own: &Hello) -> Option<Membership> {
        if own.has_state || own.initial_members.first() != Some(&own.identity.id()) {
            return None;
        }
        let others = own.initial_members.iter().skip(1);
        let others: Option<Vec<_>> = others
            .map(|id| {
                let last = self.hellos.get(id)?;
                Some(&last.hello).filter(|hello| agrees(hello, own))
            })
            .collect();
        let all = others?.into_iter().chain([own]);
        Some(Membership::new(
            all.map(|hello| (hello.identity, hello.address)),
        ))
    }
}

fn agrees(hello: &Hello, own: &Hello) -> bool {
    !hello.has_state && hello.initial_members == own.initial_members
}
