//! How replicas without any state form a group.
//!
//! The founder with the lowest identifier forms the group once it has heard every other one
//! say that it holds no state and names the same founders. A replica that lost its disk can
//! therefore never form a second group beside the one that it was in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::ids::ReplicaId;

use super::message::Hello;
use crate::keeper::{GREETING_LASTS, Stranger};
use crate::{Identity, Membership};

/// What a replica has heard of its peers.
#[derive(Debug, Default)]
pub(super) struct Heard {
    hellos: BTreeMap<ReplicaId, Greeting>,
}

/// The last greeting of a replica.
#[derive(Debug)]
struct Greeting {
    hello: Hello,
    heard: Duration,
    /// When the one before was heard, if it came from the same identity.
    before: Option<Duration>,
}

impl Heard {
    /// Notes what a peer says of itself.
    pub(super) fn note(&mut self, now: Duration, hello: Hello) {
        let last = self.hellos.get(&hello.identity.id());
        let same = last.filter(|last| last.hello.identity == hello.identity);
        let before = same.map(|last| last.heard);
        let greeting = Greeting {
            before,
            heard: now,
            hello,
        };
        self.hellos.insert(greeting.hello.identity.id(), greeting);
    }

    /// Replicas that have greeted of late and do not belong to the group.
    pub(super) fn strangers(&self, now: Duration, group: &Membership) -> Vec<Stranger> {
        let of_late = |heard: Duration| now.saturating_sub(heard) <= GREETING_LASTS;
        let greetings = self.hellos.values();
        greetings
            .filter(|greeting| of_late(greeting.heard) && !group.contains(greeting.hello.identity))
            .map(|greeting| Stranger {
                identity: greeting.hello.identity,
                address: greeting.hello.address,
                repeated: greeting.before.is_some_and(of_late),
            })
            .collect()
    }

    /// Identity and address of a peer, if it was heard.
    pub(super) fn find(&self, id: ReplicaId) -> Option<(Identity, SocketAddr)> {
        let hello = &self.hellos.get(&id)?.hello;
        Some((hello.identity, hello.address))
    }

    /// The group to form, if this replica is the one to form it and all founders agree.
    pub(super) fn group(&self, me: &Hello) -> Option<Membership> {
        if me.formed || me.founders.first() != Some(&me.identity.id()) {
            return None;
        }
        let others = me.founders.iter().skip(1);
        let others: Option<Vec<_>> = others
            .map(|id| {
                let greeting = self.hellos.get(id)?;
                Some(&greeting.hello).filter(|hello| agrees(hello, me))
            })
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
