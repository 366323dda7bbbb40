//! A simulated cluster: replicas, disks that lose what is not synced, a network and a clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::{
    Defect, Envelope, Event, MembershipChange, Output, Replica, Timing,
};
use masticfield_replica::{Entry, Identity, Membership, PersistentState, Write};

use crate::action::Action;

/// Time within which a cluster must commit again once all failures have ended, in milliseconds.
const RECOVERY_MS: u64 = 20_000;

struct Node {
    replica: Replica,
    stored: PersistentState,
    unsynced: Vec<Write>,
    /// Messages to send after the next sync.
    waiting: Vec<Envelope>,
    up: bool,
    /// Whether the disk refuses all writes.
    full: bool,
    frozen_until: u64,
    /// Index of the last entry that the application has applied.
    applied: u64,
}

/// A simulated cluster, with the leaders and committed entries observed so far.
pub struct Cluster {
    nodes: Vec<Node>,
    network: Vec<Envelope>,
    /// Sender and receiver of messages that are dropped.
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    now_ms: u64,
    proposals: u64,
    jitter: u64,
    defect: Option<Defect>,
    /// Leader of each term.
    leaders: BTreeMap<u64, Identity>,
    /// Committed entries by index.
    committed: BTreeMap<u64, Entry>,
    violation: Option<String>,
}

impl Node {
    fn is_running(&self, now_ms: u64) -> bool {
        self.up && now_ms >= self.frozen_until
    }
}

impl Cluster {
    pub fn new(size: u64, defect: Option<Defect>) -> Self {
        Self::with_jitter(size, defect, 0)
    }

    /// Creates a cluster whose replicas wait longer before their first election, by multiples of
    /// `jitter` milliseconds up to the maximum of the timing.
    pub fn with_jitter(size: u64, defect: Option<Defect>, jitter: u64) -> Self {
        let identity = |number| Identity::new(ReplicaId::new(number), Incarnation::new(0));
        let address = "127.0.0.1:1".parse().unwrap();
        let group = Membership::new((0..size).map(|number| (identity(number), address)));
        let mut cluster = Self {
            nodes: Vec::new(),
            network: Vec::new(),
            cuts: BTreeSet::new(),
            now_ms: 0,
            proposals: 0,
            jitter,
            defect,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            violation: None,
        };
        for number in 0..size {
            let mut node = cluster.start(identity(number), PersistentState::default());
            let wait = Duration::from_millis(number * (37 + jitter) % 300);
            node.replica = node.replica.started_at(Duration::ZERO, wait);
            cluster.nodes.push(node);
        }
        (0..cluster.nodes.len())
            .for_each(|index| cluster.apply(index, Event::Bootstrap(group.clone())));
        cluster.perform(&Action::SyncAll);
        cluster
    }

    /// Fails with the invariant that was violated, if any.
    pub fn check(&self) -> Result<(), String> {
        self.violation.clone().map_or(Ok(()), Err)
    }

    pub fn perform(&mut self, action: &Action) {
        let index = |number: usize| number % self.nodes.len();
        match *action {
            Action::Advance(ms) => self.advance(ms),
            Action::Run(steps) => {
                for _ in 0..steps {
                    self.advance(10);
                    self.perform(&Action::SyncAll);
                    self.perform(&Action::DeliverAll);
                }
            }
            Action::DeliverAll => {
                let sent = std::mem::take(&mut self.network);
                for envelope in sent {
                    self.deliver(envelope);
                }
            }
            Action::Deliver(number) => {
                if let Some(position) = self.message_position(number) {
                    let envelope = self.network.remove(position);
                    self.deliver(envelope);
                }
            }
            Action::Duplicate(number) => {
                let duplicate = self
                    .message_position(number)
                    .map(|position| self.network[position].clone());
                self.network.extend(duplicate);
            }
            Action::Drop(number) => {
                if let Some(position) = self.message_position(number) {
                    self.network.remove(position);
                }
            }
            Action::SyncAll => (0..self.nodes.len()).for_each(|index| self.sync(index)),
            Action::Sync(number) => self.sync(index(number)),
            Action::Crash(number) => self.restart(index(number)),
            Action::Toggle(number) => self.toggle(index(number)),
            Action::LoseDisk(number) => self.lose_disk(index(number)),
            Action::Freeze(number, ms) => {
                let index = index(number);
                self.nodes[index].frozen_until = self.now_ms + ms;
            }
            Action::Cut(from, to) => {
                let id = |number| self.nodes[index(number)].replica.identity().id();
                self.cuts.insert((id(from), id(to)));
            }
            Action::Heal => self.cuts.clear(),
            Action::Propose => self.propose(),
            Action::Compact(number) => self.compact(index(number)),
            Action::Repair => self.repair(),
            Action::FillDisk(number) => {
                let index = index(number);
                self.nodes[index].full = true;
            }
            Action::FreeDisk(number) => {
                let index = index(number);
                self.nodes[index].full = false;
            }
        }
    }

    /// Ends all failures, and fails unless the cluster commits again and is repaired in time.
    pub fn recover(&mut self) -> Result<(), String> {
        self.cuts.clear();
        for node in &mut self.nodes {
            node.up = true;
            node.full = false;
            node.frozen_until = 0;
        }
        self.propose();
        let target = self.committed.len();
        for _ in 0..RECOVERY_MS / 20 {
            self.advance(20);
            self.perform(&Action::SyncAll);
            self.perform(&Action::DeliverAll);
            self.repair();
            self.propose();
            self.check()?;
            if self.committed.len() > target + 5 && self.is_repaired() {
                return Ok(());
            }
        }
        Err("the cluster does not commit after all failures have ended".to_owned())
    }

    /// Stops the leader; returns the time until another one has committed a payload, in
    /// milliseconds.
    ///
    /// A message and a sync take 10 ms together.
    pub fn fail_over(&mut self) -> Option<u64> {
        let mut nodes = self.nodes.iter();
        let leader = nodes.position(|node| node.replica.is_leader())?;
        let term = self.nodes[leader].replica.term();
        self.nodes[leader].up = false;
        let stopped = self.now_ms;
        while self.now_ms < stopped + RECOVERY_MS {
            self.perform(&Action::Run(1));
            self.propose();
            let later = |entry: &&Entry| entry.term > term;
            // The first entry of a leader has no payload.
            if self.committed.values().filter(later).count() > 1 {
                return Some(self.now_ms - stopped);
            }
        }
        None
    }

    fn start(&self, identity: Identity, stored: PersistentState) -> Node {
        let jitter = Duration::from_millis(identity.id().number() * 37 % 300);
        let replica = Replica::new(identity, Timing::default(), stored.clone())
            .with_defect(self.defect)
            .started_at(Duration::from_millis(self.now_ms), jitter);
        Node {
            replica,
            stored,
            unsynced: Vec::new(),
            waiting: Vec::new(),
            up: true,
            full: false,
            frozen_until: 0,
            applied: 0,
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now_ms += ms;
        for index in 0..self.nodes.len() {
            if self.nodes[index].is_running(self.now_ms) {
                self.jitter = (self.jitter * 31 + 17) % 300;
                let jitter = Duration::from_millis(self.jitter);
                self.apply(index, Event::Tick { jitter });
            }
        }
    }

    /// Position of the selected message; `None` if no message is in flight.
    fn message_position(&self, number: usize) -> Option<usize> {
        number.checked_rem(self.network.len())
    }

    fn deliver(&mut self, envelope: Envelope) {
        if self.cuts.contains(&(envelope.from.id(), envelope.to.id())) {
            return;
        }
        let mut nodes = self.nodes.iter();
        let Some(index) = nodes.position(|node| node.replica.identity() == envelope.to) else {
            return;
        };
        if self.nodes[index].is_running(self.now_ms) {
            self.apply(index, Event::Received(envelope));
        } else if self.nodes[index].up {
            self.network.push(envelope);
        }
    }

    fn apply(&mut self, index: usize, event: Event) {
        let now = Duration::from_millis(self.now_ms);
        let node = &mut self.nodes[index];
        let Output {
            writes,
            send,
            send_after_sync,
            ..
        } = node.replica.step(now, event);
        if !node.replica.lacks_space() {
            node.unsynced.extend(writes);
            node.waiting.extend(send_after_sync);
        }
        self.network.extend(send);
        self.check_invariants(index);
    }

    fn sync(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if !node.is_running(self.now_ms) {
            return;
        }
        if node.full && !node.unsynced.is_empty() {
            return self.refuse_writes(index);
        }
        if !node.full && node.replica.lacks_space() {
            node.stored.hard_state = node.replica.hard_state();
            let stored = node.stored.clone();
            return self.apply(index, Event::SpaceAvailable(stored));
        }
        for write in std::mem::take(&mut node.unsynced) {
            assert!(node.stored.replay(write), "writes leave no gap");
        }
        let identity = node.replica.identity();
        for envelope in std::mem::take(&mut node.waiting) {
            if envelope.to == identity {
                self.apply(index, Event::Received(envelope));
            } else {
                self.network.push(envelope);
            }
        }
    }

    /// Stores a part of the writes and lets the others fail for lack of space.
    fn refuse_writes(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let writes = std::mem::take(&mut node.unsynced);
        self.jitter = (self.jitter * 31 + 17) % 300;
        let durable = usize::try_from(self.jitter).unwrap() % (writes.len() + 1);
        for write in writes.into_iter().take(durable) {
            assert!(node.stored.replay(write), "writes leave no gap");
        }
        node.waiting.clear();
        self.apply(index, Event::NoSpace);
    }

    fn restart(&mut self, index: usize) {
        let node = &self.nodes[index];
        let (up, full) = (node.up, node.full);
        self.nodes[index] = self.start(node.replica.identity(), node.stored.clone());
        self.nodes[index].up = up;
        self.nodes[index].full = full;
    }

    fn toggle(&mut self, index: usize) {
        let up_count = self.nodes.iter().filter(|node| node.up).count();
        if self.nodes[index].up && up_count <= 1 {
            return;
        }
        self.restart(index);
        self.nodes[index].up = !self.nodes[index].up;
    }

    /// Loses the disk of a replica, unless an earlier loss is not repaired yet.
    fn lose_disk(&mut self, index: usize) {
        if !self.is_repaired() {
            return;
        }
        let old = self.nodes[index].replica.identity();
        let incarnation = Incarnation::new(old.incarnation().number() + 1);
        let new = Identity::new(old.id(), incarnation);
        self.nodes[index] = self.start(new, PersistentState::default());
    }

    /// Whether every replica is a voter under its current identity, by a committed membership.
    fn is_repaired(&self) -> bool {
        self.nodes.iter().any(|node| {
            let log = node.replica.log();
            let mut all = self.nodes.iter().map(|node| node.replica.identity());
            node.replica.commit_index() >= log.members_index()
                && log.members().voter_count() == self.nodes.len()
                && all.all(|identity| log.members().is_voter(identity))
        })
    }

    /// Makes the next change that brings a returned replica back into the group.
    fn repair(&mut self) {
        let current: Vec<_> = self
            .nodes
            .iter()
            .map(|node| node.replica.identity())
            .collect();
        for index in 0..self.nodes.len() {
            let node = &self.nodes[index];
            if !node.replica.is_leader() || !node.is_running(self.now_ms) {
                continue;
            }
            let members = node.replica.log().members();
            let address = "127.0.0.1:1".parse().unwrap();
            let mut changes =
                current
                    .iter()
                    .filter_map(|identity| match members.find(identity.id()) {
                        Some(member) if member != *identity => {
                            Some(MembershipChange::Remove(member))
                        }
                        Some(_) if members.is_learner(*identity) => {
                            Some(MembershipChange::Promote(*identity))
                        }
                        Some(_) => None,
                        None => Some(MembershipChange::AddLearner(*identity, address)),
                    });
            if let Some(change) = changes.next() {
                self.apply(index, Event::Change(change));
            }
        }
    }

    fn propose(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].replica.is_leader() && self.nodes[index].is_running(self.now_ms) {
                self.proposals += 1;
                let payload = Bytes::from(self.proposals.to_le_bytes().to_vec());
                self.apply(index, Event::Propose(vec![payload]));
            }
        }
    }

    fn compact(&mut self, node_index: usize) {
        let node = &self.nodes[node_index];
        let index = node.applied;
        if node.is_running(self.now_ms) {
            let data = Bytes::from(index.to_le_bytes().to_vec());
            self.apply(node_index, Event::Compact { index, data });
        }
    }

    fn check_invariants(&mut self, index: usize) {
        self.check_leader(index);
        self.check_commits(index);
        self.check_logs(index);
        self.check_lease(index);
    }

    fn check_leader(&mut self, index: usize) {
        let replica = &self.nodes[index].replica;
        let (leader, term) = (replica.identity(), replica.term());
        if replica.is_leader() && *self.leaders.entry(term).or_insert(leader) != leader {
            self.violation = Some(format!("two replicas lead in term {term}"));
        }
    }

    /// Applies committed entries and compares them with those that other replicas applied.
    fn check_commits(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let snapshot = node.replica.log().snapshot();
        if snapshot.index > node.applied {
            if snapshot.data[..] != snapshot.index.to_le_bytes()[..] {
                self.violation = Some("a snapshot holds the state of another index".to_owned());
            }
            node.applied = snapshot.index;
        }
        while node.applied < node.replica.commit_index() {
            node.applied += 1;
            let Some(entry) = node.replica.log().entry(node.applied) else {
                self.violation = Some(format!("entry {} is committed but missing", node.applied));
                return;
            };
            let first_seen = self.committed.entry(node.applied);
            if first_seen.or_insert_with(|| entry.clone()) != entry {
                self.violation = Some(format!(
                    "two different entries are committed at index {}",
                    node.applied
                ));
            }
        }
    }

    /// Checks that logs with an entry of the same index and term are equal up to that entry.
    fn check_logs(&mut self, index: usize) {
        let log = self.nodes[index].replica.log();
        for other in &self.nodes {
            let other = other.replica.log();
            let mut matched = false;
            let first = log.snapshot().index.max(other.snapshot().index) + 1;
            for index in (first..=log.last_index().min(other.last_index())).rev() {
                matched |= log.term(index) == other.term(index);
                if matched && log.entry(index) != other.entry(index) {
                    self.violation = Some(format!(
                        "the logs differ at index {index}, below a matching entry"
                    ));
                    return;
                }
            }
        }
    }

    /// Checks that no replica leads a later term while another holds a lease.
    fn check_lease(&mut self, index: usize) {
        let now = Duration::from_millis(self.now_ms);
        let leader = &self.nodes[index].replica;
        if !leader.is_leader() {
            return;
        }
        for other in &self.nodes {
            let holds_lease = other
                .replica
                .lease_until(now)
                .is_some_and(|until| now < until);
            if holds_lease && other.replica.term() < leader.term() {
                self.violation = Some(format!(
                    "{} leads during the lease of another replica",
                    leader.identity()
                ));
            }
        }
    }
}
