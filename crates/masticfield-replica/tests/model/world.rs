//! Three replicas with their disks and the network between them.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::{
    Defect, Envelope, Event, MembershipChange, Message, Output, Replica, Timing,
};
use masticfield_replica::{
    Entry, EntryBody, HardState, Identity, Membership, PersistentState, Write,
};

use crate::in_flight::InFlight;

pub const NOW: Duration = Duration::ZERO;

/// Failures and operations that a search has left, and bounds of its elections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Budget {
    /// Term from which no further election starts.
    pub terms: u64,
    /// Which replicas start elections.
    pub candidates: [bool; 3],
    pub crashes: u8,
    pub lost_disks: u8,
    pub proposals: u8,
    pub changes: u8,
    /// Heartbeats that leaders send.
    pub ticks: u8,
}

impl Budget {
    pub const NONE: Self = Self {
        terms: 1,
        candidates: [true; 3],
        crashes: 0,
        lost_disks: 0,
        proposals: 0,
        changes: 0,
        ticks: 0,
    };
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Node {
    pub replica: Replica,
    stored: PersistentState,
    unsynced: Vec<Write>,
    /// Messages to send after the next sync.
    waiting: Vec<Envelope>,
    /// Hash of the other fields.
    key: u64,
}

/// State of all replicas, with the leaders and committed entries observed so far.
#[derive(Debug, Clone)]
pub struct World {
    pub nodes: Vec<Arc<Node>>,
    pub network: BTreeSet<Arc<InFlight>>,
    pub budget: Budget,
    pub defect: Option<Defect>,
    pub reuse_identity: bool,
    /// Leader of each term.
    pub leaders: BTreeMap<u64, Identity>,
    /// Committed entries by index, with the term in which they were first seen as committed.
    pub committed: BTreeMap<u64, (Entry, u64)>,
    pub violation: Option<String>,
    /// Step that led to this state; not part of the state.
    pub step: Option<Step>,
}

/// A transition from one state to another.
#[derive(Debug, Clone)]
pub enum Step {
    Deliver(Arc<InFlight>),
    Sync(usize),
    StartElection(usize),
    Heartbeat(usize),
    Crash(usize),
    LoseDisk(usize),
    Propose(usize),
    Change(usize, MembershipChange),
}

impl PartialEq for World {
    fn eq(&self, other: &Self) -> bool {
        self.compared_fields() == other.compared_fields()
    }
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.nodes.iter().for_each(|node| node.key.hash(state));
        self.network.iter().for_each(|sent| sent.key.hash(state));
        (self.budget, self.committed.len(), self.leaders.len()).hash(state);
    }
}

pub fn identity(number: u64, incarnation: u64) -> Identity {
    Identity::new(ReplicaId::new(number), Incarnation::new(incarnation))
}

/// Changes by which a replica that lost its disk rejoins.
fn rejoin_changes() -> [MembershipChange; 3] {
    let (old, new) = (identity(2, 0), identity(2, 1));
    let address = "127.0.0.1:1".parse().unwrap();
    [
        MembershipChange::Remove(old),
        MembershipChange::AddLearner(new, address),
        MembershipChange::Promote(new),
    ]
}

fn group() -> Membership {
    let address = "127.0.0.1:1".parse().unwrap();
    Membership::new((0..3).map(|number| (identity(number, 0), address)))
}

/// State of a replica directly after the group has formed.
pub fn formed_group() -> PersistentState {
    let body = EntryBody::Members(group());
    let first_entry = Entry {
        index: 1,
        term: 1,
        body,
    };
    PersistentState {
        hard_state: HardState {
            term: 1,
            vote: None,
        },
        entries: vec![first_entry],
        ..PersistentState::default()
    }
}

impl Node {
    pub fn start(identity: Identity, stored: PersistentState, defect: Option<Defect>) -> Self {
        Self {
            replica: Replica::new(identity, Timing::zero(), stored.clone()).with_defect(defect),
            stored,
            unsynced: Vec::new(),
            waiting: Vec::new(),
            key: 0,
        }
        .with_key()
    }

    fn with_key(mut self) -> Self {
        self.set_key();
        self
    }

    fn set_key(&mut self) {
        let mut hasher = DefaultHasher::new();
        let others = (&self.replica, &self.stored, &self.unsynced, &self.waiting);
        others.hash(&mut hasher);
        self.key = hasher.finish();
    }

    /// Whether the replica would ignore a message.
    fn ignores(&self, message: &Message) -> bool {
        let term = self.replica.term();
        match message {
            Message::VoteResponse { granted, .. } => {
                message.term() < term || (*granted && self.replica.is_leader())
            }
            Message::AppendResponse { .. } => {
                message.term() < term || (message.term() == term && !self.replica.is_leader())
            }
            _ => false,
        }
    }
}

impl World {
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = budget;
        self
    }

    pub const fn budget(&self) -> Budget {
        self.budget
    }

    /// Invariant that this state violates, if any.
    pub fn violation(&self) -> Option<String> {
        self.violation.clone()
    }

    /// All states that one step leads to.
    pub fn successors(&self) -> Vec<Self> {
        let deliveries = self.network.iter().cloned().map(Step::Deliver);
        let local = (0..self.nodes.len()).flat_map(|index| self.local_steps(index));
        deliveries
            .chain(local)
            .map(|step| self.after_step(step))
            .filter(|world| world != self)
            .collect()
    }

    fn local_steps(&self, index: usize) -> Vec<Step> {
        let budget = self.budget;
        let node = &self.nodes[index];
        let leads = node.replica.is_leader();
        let has_unsynced = !node.unsynced.is_empty() || !node.waiting.is_empty();
        let may_start_election =
            !leads && node.replica.term() < budget.terms && budget.candidates[index];
        let mut steps = Vec::new();
        steps.extend(has_unsynced.then_some(Step::Sync(index)));
        steps.extend(may_start_election.then_some(Step::StartElection(index)));
        steps.extend((leads && budget.ticks > 0).then_some(Step::Heartbeat(index)));
        steps.extend((budget.crashes > 0).then_some(Step::Crash(index)));
        steps.extend((budget.lost_disks > 0).then_some(Step::LoseDisk(index)));
        steps.extend((leads && budget.proposals > 0).then_some(Step::Propose(index)));
        if leads && budget.changes > 0 {
            steps.extend(rejoin_changes().map(|change| Step::Change(index, change)));
        }
        steps
    }

    fn after_step(&self, step: Step) -> Self {
        let mut world = self.clone();
        let tick = Event::Tick { jitter: NOW };
        match &step {
            Step::Deliver(sent) => {
                world.network.remove(sent);
                world.deliver(sent.envelope.clone());
            }
            Step::Sync(index) => world.sync(*index),
            Step::StartElection(index) => world.apply(*index, tick),
            Step::Heartbeat(index) => {
                world.budget.ticks -= 1;
                world.apply(*index, tick);
            }
            Step::Crash(index) => {
                world.budget.crashes -= 1;
                world.crash(*index);
            }
            Step::LoseDisk(index) => {
                world.budget.lost_disks -= 1;
                world.lose_disk(*index);
            }
            Step::Propose(index) => {
                world.budget.proposals -= 1;
                world.apply(*index, Event::Propose(vec![Bytes::from_static(b"p")]));
            }
            Step::Change(index, change) => {
                world.budget.changes -= 1;
                world.apply(*index, Event::Change(*change));
            }
        }
        world.drop_ignored_messages();
        world.step = Some(step);
        world
    }

    /// Drops messages that their receiver would ignore, which reduces the number of states.
    fn drop_ignored_messages(&mut self) {
        let nodes = &self.nodes;
        self.network.retain(|sent| {
            let mut nodes = nodes.iter();
            let node = nodes.find(|node| node.replica.identity() == sent.envelope.to);
            node.is_some_and(|node| !node.ignores(&sent.envelope.message))
        });
    }

    pub fn apply(&mut self, index: usize, event: Event) {
        let node = Arc::make_mut(&mut self.nodes[index]);
        let Output {
            writes,
            send,
            send_after_sync,
            ..
        } = node.replica.step(NOW, event);
        node.unsynced.extend(writes);
        node.waiting.extend(send_after_sync);
        node.set_key();
        self.network.extend(send.into_iter().map(InFlight::new));
        self.check_invariants(index);
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let mut nodes = self.nodes.iter();
        if let Some(index) = nodes.position(|node| node.replica.identity() == envelope.to) {
            self.apply(index, Event::Received(envelope));
        }
    }

    pub fn sync(&mut self, index: usize) {
        let node = Arc::make_mut(&mut self.nodes[index]);
        for write in std::mem::take(&mut node.unsynced) {
            assert!(node.stored.replay(write));
        }
        let identity = node.replica.identity();
        let waiting = std::mem::take(&mut node.waiting);
        let (own, others): (Vec<_>, Vec<_>) =
            waiting.into_iter().partition(|sent| sent.to == identity);
        node.set_key();
        self.network.extend(others.into_iter().map(InFlight::new));
        for envelope in own {
            self.apply(index, Event::Received(envelope));
        }
    }

    fn crash(&mut self, index: usize) {
        let node = &self.nodes[index];
        let restarted = Node::start(node.replica.identity(), node.stored.clone(), self.defect);
        self.nodes[index] = Arc::new(restarted);
    }

    pub fn lose_disk(&mut self, index: usize) {
        let old = self.nodes[index].replica.identity();
        let restarted = if self.reuse_identity {
            Node::start(old, formed_group(), self.defect)
        } else {
            let incarnation = old.incarnation().number() + 1;
            let new = identity(old.id().number(), incarnation);
            Node::start(new, PersistentState::default(), self.defect)
        };
        self.nodes[index] = Arc::new(restarted);
    }

    fn check_invariants(&mut self, index: usize) {
        let replica = self.nodes[index].replica.clone();
        if replica.is_leader() {
            self.check_leader(&replica);
        }
        for index in 2..=replica.commit_index() {
            let Some(entry) = replica.log().entry(index) else {
                continue;
            };
            let term = replica.term();
            let first_seen = self.committed.entry(index);
            let (expected, _) = first_seen.or_insert_with(|| (entry.clone(), term));
            if expected != entry {
                self.violation = Some(format!(
                    "two different entries are committed at index {index}"
                ));
            }
        }
    }

    fn check_leader(&mut self, replica: &Replica) {
        let leader = replica.identity();
        if *self.leaders.entry(replica.term()).or_insert(leader) != leader {
            self.violation = Some(format!("two replicas lead in term {}", replica.term()));
        }
        for (index, (entry, term)) in &self.committed {
            let lost = replica.term() > *term && replica.log().entry(*index) != Some(entry);
            if lost {
                self.violation = Some(format!(
                    "{leader} leads without the committed entry at index {index}"
                ));
            }
        }
    }

    #[expect(clippy::type_complexity, reason = "the fields are only compared")]
    fn compared_fields(
        &self,
    ) -> (
        &[Arc<Node>],
        &BTreeSet<Arc<InFlight>>,
        &Budget,
        &BTreeMap<u64, Identity>,
        &BTreeMap<u64, (Entry, u64)>,
        &Option<String>,
    ) {
        (
            &self.nodes,
            &self.network,
            &self.budget,
            &self.leaders,
            &self.committed,
            &self.violation,
        )
    }
}
