//! A simulated cluster: replicas, disks that lose what is not synced, a network and a clock.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use masticfield_core::ids::{Incarnation, ReplicaId};
use masticfield_replica::consensus::{Change, Defect, Envelope, Event, Next, Replica, Timing};
use masticfield_replica::{Entry, Identity, Membership, Stored, Write};

use crate::action::Action;

/// Milliseconds after which a healed cluster must commit again.
const RECOVERY_MS: u64 = 20_000;

struct Node {
    replica: Replica,
    stored: Stored,
    unsynced: Vec<Write>,
    waiting: Vec<Envelope>,
    up: bool,
    frozen_until: u64,
    applied: u64,
}

/// The cluster and what was seen of it.
pub struct Cluster {
    nodes: Vec<Node>,
    network: Vec<Envelope>,
    cuts: BTreeSet<(ReplicaId, ReplicaId)>,
    now_ms: u64,
    proposals: u64,
    jitter: u64,
    defect: Option<Defect>,
    leaders: BTreeMap<u64, Identity>,
    committed: BTreeMap<u64, Entry>,
    broken: Option<String>,
}

impl Node {
    fn runs(&self, now_ms: u64) -> bool {
        self.up && now_ms >= self.frozen_until
    }
}

impl Cluster {
    pub fn new(size: u64, defect: Option<Defect>) -> Self {
        let me = |number| Identity::new(ReplicaId::new(number), Incarnation::new(0));
        let address = "127.0.0.1:1".parse().unwrap();
        let group = Membership::new((0..size).map(|number| (me(number), address)));
        let mut cluster = Self {
            nodes: Vec::new(),
            network: Vec::new(),
            cuts: BTreeSet::new(),
            now_ms: 0,
            proposals: 0,
            jitter: 0,
            defect,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            broken: None,
        };
        for number in 0..size {
            let node = cluster.start(me(number), Stored::default());
            cluster.nodes.push(node);
        }
        (0..cluster.nodes.len()).for_each(|at| cluster.feed(at, Event::Found(group.clone())));
        cluster.act(&Action::SyncAll);
        cluster
    }

    pub fn sound(&self) -> Result<(), String> {
        self.broken.clone().map_or(Ok(()), Err)
    }

    pub fn act(&mut self, action: &Action) {
        let replica = |number: usize| number % self.nodes.len();
        match *action {
            Action::Pass(ms) => self.pass(ms),
            Action::Run(steps) => {
                for _ in 0..steps {
                    self.pass(10);
                    self.act(&Action::SyncAll);
                    self.act(&Action::DeliverAll);
                }
            }
            Action::DeliverAll => {
                let sent = std::mem::take(&mut self.network);
                for envelope in sent {
                    self.deliver(envelope);
                }
            }
            Action::Deliver(number) => {
                if let Some(at) = self.under_way(number) {
                    let envelope = self.network.remove(at);
                    self.deliver(envelope);
                }
            }
            Action::Double(number) => {
                let doubled = self.under_way(number).map(|at| self.network[at].clone());
                self.network.extend(doubled);
            }
            Action::Lose(number) => {
                if let Some(at) = self.under_way(number) {
                    self.network.remove(at);
                }
            }
            Action::SyncAll => (0..self.nodes.len()).for_each(|at| self.sync(at)),
            Action::Sync(number) => self.sync(replica(number)),
            Action::Crash(number) => self.restart(replica(number)),
            Action::Toggle(number) => self.toggle(replica(number)),
            Action::LoseDisk(number) => self.lose_disk(replica(number)),
            Action::Freeze(number, ms) => {
                let at = replica(number);
                self.nodes[at].frozen_until = self.now_ms + ms;
            }
            Action::Cut(from, to) => {
                let id = |number| self.nodes[replica(number)].replica.me().id();
                self.cuts.insert((id(from), id(to)));
            }
            Action::Heal => self.cuts.clear(),
            Action::Propose => self.propose(),
            Action::Compact(number) => self.compact(replica(number)),
            Action::Repair => self.repair(),
        }
    }

    /// Ends all failures and checks that the cluster commits again.
    pub fn recover(&mut self) -> Result<(), String> {
        self.cuts.clear();
        for node in &mut self.nodes {
            node.up = true;
            node.frozen_until = 0;
        }
        self.propose();
        let target = self.committed.len();
        for _ in 0..RECOVERY_MS / 20 {
            self.pass(20);
            self.act(&Action::SyncAll);
            self.act(&Action::DeliverAll);
            self.repair();
            self.propose();
            self.sound()?;
            if self.committed.len() > target + 5 && self.is_repaired() {
                return Ok(());
            }
        }
        Err("the healed cluster does not commit".to_owned())
    }

    fn start(&self, me: Identity, stored: Stored) -> Node {
        let jitter = Duration::from_millis(me.id().number() * 37 % 300);
        let replica = Replica::new(me, Timing::default(), stored.clone())
            .with_defect(self.defect)
            .started_at(Duration::from_millis(self.now_ms), jitter);
        Node {
            replica,
            stored,
            unsynced: Vec::new(),
            waiting: Vec::new(),
            up: true,
            frozen_until: 0,
            applied: 0,
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now_ms += ms;
        for at in 0..self.nodes.len() {
            if self.nodes[at].runs(self.now_ms) {
                self.jitter = (self.jitter * 31 + 17) % 300;
                let jitter = Duration::from_millis(self.jitter);
                self.feed(at, Event::Tick { jitter });
            }
        }
    }

    fn under_way(&self, number: usize) -> Option<usize> {
        number.checked_rem(self.network.len())
    }

    fn deliver(&mut self, envelope: Envelope) {
        if self.cuts.contains(&(envelope.from.id(), envelope.to.id())) {
            return;
        }
        let mut nodes = self.nodes.iter();
        let Some(at) = nodes.position(|node| node.replica.me() == envelope.to) else {
            return;
        };
        if self.nodes[at].runs(self.now_ms) {
            self.feed(at, Event::Received(envelope));
        } else if self.nodes[at].up {
            self.network.push(envelope);
        }
    }

    fn feed(&mut self, at: usize, event: Event) {
        let now = Duration::from_millis(self.now_ms);
        let node = &mut self.nodes[at];
        let Next {
            writes,
            send,
            send_synced,
            ..
        } = node.replica.step(now, event);
        node.unsynced.extend(writes);
        node.waiting.extend(send_synced);
        self.network.extend(send);
        self.check(at);
    }

    fn sync(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if !node.runs(self.now_ms) {
            return;
        }
        for write in std::mem::take(&mut node.unsynced) {
            assert!(node.stored.replay(write), "writes leave no gap");
        }
        let me = node.replica.me();
        for envelope in std::mem::take(&mut node.waiting) {
            if envelope.to == me {
                self.feed(at, Event::Received(envelope));
            } else {
                self.network.push(envelope);
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let node = &self.nodes[at];
        let up = node.up;
        self.nodes[at] = self.start(node.replica.me(), node.stored.clone());
        self.nodes[at].up = up;
    }

    fn toggle(&mut self, at: usize) {
        let others_up = self.nodes.iter().filter(|node| node.up).count();
        if self.nodes[at].up && others_up <= 1 {
            return;
        }
        self.restart(at);
        self.nodes[at].up = !self.nodes[at].up;
    }

    /// Loses a disk, unless an earlier loss is not repaired yet.
    fn lose_disk(&mut self, at: usize) {
        if !self.is_repaired() {
            return;
        }
        let me = self.nodes[at].replica.me();
        let incarnation = Incarnation::new(me.incarnation().number() + 1);
        let me = Identity::new(me.id(), incarnation);
        self.nodes[at] = self.start(me, Stored::default());
    }

    /// Whether a committed membership has every replica as a voter.
    fn is_repaired(&self) -> bool {
        self.nodes.iter().any(|node| {
            let log = node.replica.log();
            let mut all = self.nodes.iter().map(|node| node.replica.me());
            node.replica.commit() >= log.members_index()
                && log.members().voter_count() == self.nodes.len()
                && all.all(|me| log.members().is_voter(me))
        })
    }

    fn repair(&mut self) {
        let current: Vec<_> = self.nodes.iter().map(|node| node.replica.me()).collect();
        for at in 0..self.nodes.len() {
            let node = &self.nodes[at];
            if !node.replica.is_leader() || !node.runs(self.now_ms) {
                continue;
            }
            let members = node.replica.log().members();
            let address = "127.0.0.1:1".parse().unwrap();
            let mut changes = current.iter().filter_map(|me| match members.find(me.id()) {
                Some(member) if member != *me => Some(Change::Remove(member)),
                Some(_) if members.is_learner(*me) => Some(Change::Promote(*me)),
                Some(_) => None,
                None => Some(Change::AddLearner(*me, address)),
            });
            if let Some(change) = changes.next() {
                self.feed(at, Event::Change(change));
            }
        }
    }

    fn propose(&mut self) {
        for at in 0..self.nodes.len() {
            if self.nodes[at].replica.is_leader() && self.nodes[at].runs(self.now_ms) {
                self.proposals += 1;
                let payload = Bytes::from(self.proposals.to_le_bytes().to_vec());
                self.feed(at, Event::Propose(vec![payload]));
            }
        }
    }

    fn compact(&mut self, at: usize) {
        let node = &self.nodes[at];
        let index = node.applied;
        if node.runs(self.now_ms) {
            let data = Bytes::from(index.to_le_bytes().to_vec());
            self.feed(at, Event::Compact { index, data });
        }
    }

    fn check(&mut self, at: usize) {
        self.check_leader(at);
        self.check_commits(at);
        self.check_logs(at);
        self.check_lease(at);
    }

    fn check_leader(&mut self, at: usize) {
        let replica = &self.nodes[at].replica;
        let (me, term) = (replica.me(), replica.term());
        if replica.is_leader() && *self.leaders.entry(term).or_insert(me) != me {
            self.broken = Some(format!("two replicas lead in term {term}"));
        }
    }

    /// Applies what is committed and compares it with what others applied.
    fn check_commits(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        let snapshot = node.replica.log().snapshot();
        if snapshot.index > node.applied {
            if snapshot.data[..] != snapshot.index.to_le_bytes()[..] {
                self.broken = Some("a snapshot holds other state than its index".to_owned());
            }
            node.applied = snapshot.index;
        }
        while node.applied < node.replica.commit() {
            node.applied += 1;
            let Some(entry) = node.replica.log().entry(node.applied) else {
                self.broken = Some(format!("entry {} is committed and missing", node.applied));
                return;
            };
            let known = self.committed.entry(node.applied);
            if known.or_insert_with(|| entry.clone()) != entry {
                self.broken = Some(format!("two entries are committed at {}", node.applied));
            }
        }
    }

    /// Entries of the same index and term are the same, and so are those before them.
    fn check_logs(&mut self, at: usize) {
        let log = self.nodes[at].replica.log();
        for other in &self.nodes {
            let other = other.replica.log();
            let mut matched = false;
            let first = log.snapshot().index.max(other.snapshot().index) + 1;
            for index in (first..=log.last_index().min(other.last_index())).rev() {
                matched |= log.term(index) == other.term(index);
                if matched && log.entry(index) != other.entry(index) {
                    self.broken = Some(format!("the logs differ at {index} below a match"));
                    return;
                }
            }
        }
    }

    /// While a replica holds a lease, no other leads in a later term.
    fn check_lease(&mut self, at: usize) {
        let now = Duration::from_millis(self.now_ms);
        let leader = &self.nodes[at].replica;
        if !leader.is_leader() {
            return;
        }
        for other in &self.nodes {
            let held = other
                .replica
                .lease_until(now)
                .is_some_and(|until| now < until);
            if held && other.replica.term() < leader.term() {
                self.broken = Some(format!("{} leads during a lease", leader.me()));
            }
        }
    }
}
