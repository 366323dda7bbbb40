//! Initial states of searches.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_replica::consensus::{Defect, Event};
use masticfield_replica::{Entry, EntryBody, HardState, PersistentState};

use crate::world::{Budget, NOW, Node, World, formed_group, identity};

impl World {
    /// Three replicas that have formed a group.
    pub fn new(defect: Option<Defect>) -> Self {
        Self::with_stored(defect, [formed_group(), formed_group(), formed_group()])
    }

    /// A group in which two leaders each appended an entry that reached no other replica.
    pub fn diverged(defect: Option<Defect>) -> Self {
        let stored = |terms: &[u64], term| {
            let mut stored = formed_group();
            stored.hard_state = HardState { term, vote: None };
            for (index, term) in (2..).zip(terms) {
                let entry = Entry {
                    index,
                    term: *term,
                    body: EntryBody::Noop,
                };
                stored.entries.push(entry);
            }
            stored
        };
        Self::with_stored(defect, [stored(&[2], 3), stored(&[], 3), stored(&[3], 3)])
    }

    fn with_stored(defect: Option<Defect>, stored: [PersistentState; 3]) -> Self {
        let nodes = (0..)
            .zip(stored)
            .map(|(number, stored)| Arc::new(Node::start(identity(number, 0), stored, defect)));
        Self {
            nodes: nodes.collect(),
            network: BTreeSet::new(),
            budget: Budget::NONE,
            defect,
            reuse_identity: false,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
            step: None,
        }
    }

    /// Elects a replica and delivers all messages.
    pub fn with_leader(mut self, index: usize) -> Self {
        // The second tick sends a heartbeat, which carries the commit index.
        for _ in 0..2 {
            self.apply(index, Event::Tick { jitter: NOW });
            self.deliver_all();
        }
        self
    }

    /// Syncs every disk and delivers messages until none is in flight.
    fn deliver_all(&mut self) {
        loop {
            (0..self.nodes.len()).for_each(|index| self.sync(index));
            let Some(sent) = self.network.pop_first() else {
                return;
            };
            self.deliver(sent.envelope.clone());
        }
    }

    /// Elects a replica with the vote of one peer, and drops every message to the third replica.
    pub fn with_leader_elected_by(mut self, index: usize, peer: usize) -> Self {
        self.apply(index, Event::Tick { jitter: NOW });
        let connected = [index, peer].map(|index| self.nodes[index].replica.identity());
        while !self.nodes[index].replica.is_leader() {
            self.sync(index);
            self.sync(peer);
            self.network
                .retain(|sent| connected.contains(&sent.envelope.to));
            let sent = self.network.pop_first().expect("the vote is in flight");
            self.deliver(sent.envelope.clone());
        }
        self.network
            .retain(|sent| connected.contains(&sent.envelope.to));
        self
    }

    /// Loses the disk of a replica, which restarts under a new identity.
    pub fn without_disk(mut self, index: usize) -> Self {
        self.lose_disk(index);
        self
    }

    /// Lets a replica that loses its disk restart as the voter that it was before.
    pub fn with_reused_identity(mut self) -> Self {
        self.reuse_identity = true;
        self
    }
}
