//! How replicas without any state form a group.
//!
//! The founder with the lowest identifier forms the group once it has heard every other one
//! say that it holds no state and names the same founders. A replica that lost its disk can
//! therefore never form a second group beside the one that it was in.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use masticfield_core::ids::ReplicaId;

use super::message::Hello;
use crate::{Identity, Membership};

/// What a replica has heard of its peers.
#[derive(Debug, Default)]
pub(super) struct Heard {
    hellos: BTreeMap<ReplicaId, Hello>,
}

impl Heard {
    /// Notes what a peer says of itself.
    pub(super) fn note(&mut self, hello: Hello) {
        self.hellos.insert(hello.identity.id(), hello);
    }

    /// Identity and address of a peer, if it was heard.
    pub(super) fn find(&self, id: ReplicaId) -> Option<(Identity, SocketAddr)> {
        let hello = self.hellos.get(&id)?;
        Some((hello.identity, hello.address))
    }

    /// The group to form, if this replica is the one to form it and all founders agree.
    pub(super) fn group(&self, me: &Hello) -> Option<Membership> {
        if me.formed || me.founders.first() != Some(&me.identity.id()) {
            return None;
        }
        let others = me.founders.iter().skip(1);
        let others: Option<Vec<_>> = others
            .map(|id| self.hellos.get(id).filter(|hello| agrees(hello, me)))
            .collect();
        let all = others?.into_iter().chain([me]);
        Some(Membership::new(
            all.map(|hello| (hello.identity, hello.address)),
        ))
    }
}

fn agrees(hello: &Hello, me: &Hello) -> bool {
    !hello.formed && hello.founders == me.founders
}
