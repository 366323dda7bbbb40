//! States from which searches start.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_replica::consensus::{Defect, Event};
use masticfield_replica::{Entry, EntryBody, HardState, Stored};

use crate::world::{Budget, NOW, Node, World, founded, identity};

impl World {
    /// Three replicas that have formed a group.
    pub fn new(defect: Option<Defect>) -> Self {
        Self::with_stored(defect, [founded(), founded(), founded()])
    }

    /// A group in which two leaders each wrote an entry that reached no other replica.
    pub fn diverged(defect: Option<Defect>) -> Self {
        let stored = |terms: &[u64], term| {
            let mut stored = founded();
            stored.hard_state = HardState { term, vote: None };
            for (index, term) in (2..).zip(terms) {
                let entry = Entry {
                    index,
                    term: *term,
                    body: EntryBody::Nothing,
                };
                stored.entries.push(entry);
            }
            stored
        };
        Self::with_stored(defect, [stored(&[2], 3), stored(&[], 3), stored(&[3], 3)])
    }

    fn with_stored(defect: Option<Defect>, stored: [Stored; 3]) -> Self {
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
            broken: None,
            step: None,
        }
    }

    /// Elects a replica and lets every message arrive.
    pub fn with_leader(mut self, node: usize) -> Self {
        // The second tick is the heartbeat that tells what is committed.
        for _ in 0..2 {
            self.feed(node, Event::Tick { jitter: NOW });
            self.settle();
        }
        self
    }

    fn settle(&mut self) {
        loop {
            (0..self.nodes.len()).for_each(|node| self.sync(node));
            let Some(sent) = self.network.pop_first() else {
                return;
            };
            self.deliver(sent.envelope.clone());
        }
    }

    /// Elects a replica by the vote of one peer, and loses every message to the third.
    pub fn with_bare_leader(mut self, node: usize, peer: usize) -> Self {
        self.feed(node, Event::Tick { jitter: NOW });
        let pair = [node, peer].map(|node| self.nodes[node].replica.me());
        while !self.nodes[node].replica.is_leader() {
            self.sync(node);
            self.sync(peer);
            self.network.retain(|sent| pair.contains(&sent.envelope.to));
            let sent = self.network.pop_first().expect("the vote is under way");
            self.deliver(sent.envelope.clone());
        }
        self.network.retain(|sent| pair.contains(&sent.envelope.to));
        self
    }

    /// Takes away the disk of a replica, which comes back under a new identity.
    pub fn without_disk(mut self, node: usize) -> Self {
        self.lose_disk(node);
        self
    }

    /// Lets a replica that lost its disk come back as the voter that it was.
    pub fn with_reused_identity(mut self) -> Self {
        self.reuse_identity = true;
        self
    }
}
