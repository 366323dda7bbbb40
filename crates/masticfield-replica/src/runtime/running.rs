//! The task that drives the step function.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_core::ids::ReplicaId;
use masticfield_wire::Keys;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use super::deliver::Delivery;
use super::disk::Disk;
use super::formation::Heard;
use super::link::Link;
use super::message::{Hello, PeerMessage};
use super::request::{Request, Waiter};
use super::traffic::TrafficCounter;
use crate::consensus::{Appended, ChangeError, Envelope, Event, Next, Replica, Timing};
use crate::keeper::{self, Member};
use crate::{Applied, AppliedKind, EntryBody, Identity, Membership, ReplicaStatus, Write};

/// Period in which the replica looks at the clock.
pub(crate) const TICK: Duration = Duration::from_millis(20);

/// Requests or messages that one pass of the loop takes, at most.
const MAX_BATCH: usize = 1_024;

/// Time between two greetings of a replica that knows no group.
const HELLO_PERIOD: Duration = Duration::from_millis(200);

/// Proposals and changes that wait to be committed, at most.
const MAX_WAITERS: usize = 8_192;

/// A replica with its disk, peers and clock.
#[derive(Debug)]
pub(super) struct Running {
    pub(super) replica: Replica,
    pub(super) timing: Timing,
    pub(super) disk: Disk,
    /// Writes for the next batch.
    pub(super) writes: Vec<Write>,
    /// Messages that wait for the next batch.
    pub(super) waiting: Vec<Envelope>,
    /// Messages that wait for the batch under way.
    pub(super) under_way: Option<Vec<Envelope>>,
    pub(super) links: BTreeMap<ReplicaId, Link>,
    pub(super) peers: Vec<(ReplicaId, SocketAddr)>,
    pub(super) hello: watch::Sender<Hello>,
    pub(super) heard: Heard,
    /// By the index of the entry; all are of the current term.
    pub(super) waiters: BTreeMap<u64, Waiter>,
    pub(super) delivered: u64,
    /// Index of the last payload or snapshot handed on.
    pub(super) last_payload: u64,
    /// Keeps the channel of messages open without a listener.
    pub(super) _received: mpsc::Sender<PeerMessage>,
    pub(super) deliveries: mpsc::UnboundedSender<Delivery>,
    pub(super) status: watch::Sender<ReplicaStatus>,
    pub(super) members: watch::Sender<Membership>,
    pub(super) traffic: Arc<TrafficCounter>,
    /// When the peers are greeted again while no group is known.
    pub(super) hello_due: Duration,
    pub(super) keys: Option<Keys>,
    /// Voters that a leader keeps up by itself, if it does.
    pub(super) voters: Option<usize>,
}

/// A random delay of an election.
pub(super) fn jitter(timing: Timing) -> Duration {
    timing.max_jitter.mul_f64(rand::random::<f64>())
}

impl Running {
    /// Runs until a handle, receiver or the disk is gone.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        mut received: mpsc::Receiver<PeerMessage>,
    ) {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let (mut asked, mut messages) = (Vec::new(), Vec::new());
        self.form();
        loop {
            tokio::select! {
                result = self.disk.result(), if self.under_way.is_some() => {
                    if let Err(error) = result {
                        return self.fail(&error);
                    }
                    self.synced();
                }
                _ = received.recv_many(&mut messages, MAX_BATCH) => {
                    messages.drain(..).for_each(|message| self.receive(message));
                }
                count = requests.recv_many(&mut asked, MAX_BATCH), if self.waiters.len() < MAX_WAITERS => {
                    if count == 0 {
                        return;
                    }
                    self.take_requests(asked.drain(..));
                }
                _ = ticks.tick() => {
                    let jitter = jitter(self.timing);
                    self.step(Event::Tick { jitter });
                    self.repeat_hello();
                    self.keep_members();
                }
                () = self.deliveries.closed() => return,
            }
            self.submit();
            self.publish();
        }
    }

    pub(super) fn step(&mut self, event: Event) -> (Option<Appended>, Option<ChangeError>) {
        let now = boot_now();
        let Next {
            writes,
            send,
            send_synced,
            appended,
            refused,
        } = self.replica.step(now, event);
        self.writes.extend(writes);
        self.waiting.extend(send_synced);
        for envelope in send {
            self.send(envelope);
        }
        self.settle_waiters();
        self.deliver();
        (appended, refused)
    }

    fn receive(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Hello(hello) => self.greet(hello),
            PeerMessage::Replica(envelope) => {
                self.step(Event::Received(envelope));
            }
            PeerMessage::Found(members) => {
                let founders = members.voters().map(Identity::id);
                if founders.eq(self.hello.borrow().founders.iter().copied()) {
                    self.step(Event::Found(members));
                }
            }
            PeerMessage::Group(members) => {
                for (member, address) in members.members() {
                    self.connect(member.id(), address);
                }
            }
        }
    }

    /// Notes a peer, and tells it of the group if it is a founder that does not know yet.
    fn greet(&mut self, hello: Hello) {
        let (peer, formed) = (hello.identity, hello.formed);
        self.connect(peer.id(), hello.address);
        self.heard.note(boot_now(), hello);
        self.form();
        if formed {
            return;
        }
        let founding = self.replica.log().entry(1).map(|entry| &entry.body);
        let link = self.links.get(&peer.id());
        if let (Some(EntryBody::Members(group)), Some(link)) = (founding, link)
            && group.is_voter(peer)
        {
            link.send(PeerMessage::Found(group.clone()));
        }
        let members = self.replica.log().members();
        if !members.contains(peer)
            && members.contains(self.replica.me())
            && let Some(link) = link
        {
            link.send(PeerMessage::Group(members.clone()));
        }
    }

    /// Adds or removes a member if this replica leads and one is to be.
    fn keep_members(&mut self) {
        let Some(voters) = self.voters.filter(|_| self.replica.is_leader()) else {
            return;
        };
        let now = boot_now();
        let group = self.replica.log().members();
        let members = group.members().map(|(identity, _)| Member {
            identity,
            silent: self.replica.silence(now, identity).unwrap_or_default(),
        });
        let members: Vec<_> = members.collect();
        let strangers = self.heard.strangers(now, group);
        let Some(change) = keeper::next_change(group, &members, &strangers, voters) else {
            return;
        };
        if let (Some(_), _) = self.step(Event::Change(change)) {
            log::info!(change:? = change; "members change");
        }
    }

    /// Greets the peers again while no leader is known.
    ///
    /// The founder tells of the group once, and on each greeting; the first time is lost if its
    /// connection to this replica is not there yet. A leader lets in whoever greets it and is
    /// no member.
    fn repeat_hello(&mut self) {
        let now = boot_now();
        if self.replica.leader().is_some() || now < self.hello_due {
            return;
        }
        self.hello_due = now + HELLO_PERIOD;
        let hello = self.hello.borrow().clone();
        for link in self.links.values() {
            link.send(PeerMessage::Hello(hello.clone()));
        }
    }

    /// Connects to the peers, and forms a group if all founders are there.
    fn form(&mut self) {
        for (id, address) in self.peers.clone() {
            self.connect(id, address);
        }
        let group = self.heard.group(&self.hello.borrow());
        if let Some(group) = group {
            self.step(Event::Found(group.clone()));
            for link in self.links.values() {
                link.send(PeerMessage::Found(group.clone()));
            }
        }
    }

    fn connect(&mut self, id: ReplicaId, address: SocketAddr) {
        let known = self.links.get(&id).map(Link::address);
        if id != self.replica.me().id() && known != Some(address) {
            let (hello, keys) = (self.hello.subscribe(), self.keys.clone());
            let link = Link::spawn(address, hello, keys, Arc::clone(&self.traffic));
            self.links.insert(id, link);
        }
    }

    /// Hands on what is committed and was not handed on before.
    fn deliver(&mut self) {
        let log = self.replica.log();
        let snapshot = log.snapshot();
        if snapshot.index > self.delivered {
            self.delivered = snapshot.index;
            self.last_payload = snapshot.index;
            let applied = Applied {
                index: snapshot.index,
                payload: snapshot.data[..].into(),
                kind: AppliedKind::Snapshot,
            };
            // A closed channel ends the loop.
            drop(self.deliveries.send(Delivery {
                applied,
                reply: None,
            }));
        }
        let committed = self.replica.commit() - self.delivered;
        let entries = log.entries_from(self.delivered + 1).iter();
        for entry in entries.take(usize::try_from(committed).unwrap_or(usize::MAX)) {
            self.delivered = entry.index;
            let reply = match self.waiters.remove(&entry.index) {
                Some(Waiter::Proposal(reply)) => Some(reply),
                Some(Waiter::Change(reply)) => {
                    _ = reply.send(Ok(()));
                    None
                }
                None => None,
            };
            if let EntryBody::Payload(payload) = &entry.body {
                self.last_payload = entry.index;
                let applied = Applied {
                    index: entry.index,
                    payload: payload[..].into(),
                    kind: AppliedKind::Payload,
                };
                drop(self.deliveries.send(Delivery { applied, reply }));
            }
        }
    }

    fn send(&mut self, envelope: Envelope) {
        let to = envelope.to;
        let address = self.replica.log().members().address(to);
        if let Some(address) = address {
            self.connect(to.id(), address);
        }
        if let Some(link) = self.links.get(&to.id()) {
            link.send(PeerMessage::Replica(envelope));
        }
    }

    /// Starts the next batch of writes unless one is under way.
    fn submit(&mut self) {
        while self.under_way.is_none() && !(self.writes.is_empty() && self.waiting.is_empty()) {
            let waiting = std::mem::take(&mut self.waiting);
            if self.writes.is_empty() {
                self.send_waiting(waiting);
            } else {
                self.disk.write(std::mem::take(&mut self.writes));
                self.under_way = Some(waiting);
            }
        }
    }

    fn synced(&mut self) {
        let waiting = self.under_way.take().unwrap_or_default();
        self.send_waiting(waiting);
    }

    fn send_waiting(&mut self, waiting: Vec<Envelope>) {
        let me = self.replica.me();
        for envelope in waiting {
            if envelope.to == me {
                self.step(Event::Received(envelope));
            } else {
                self.send(envelope);
            }
        }
    }

    fn publish(&self) {
        let replica = &self.replica;
        let lease = replica.lease_until(boot_now());
        let now = ReplicaStatus {
            id: replica.me().id(),
            leader: replica.leader().map(Identity::id),
            term: replica.term(),
            committed: self.last_payload,
            lease_until: lease,
            storage_failed: false,
            voter: replica.log().members().is_voter(replica.me()),
        };
        self.status.send_if_modified(|status| {
            let had_lease = status.lease_until.is_some();
            let before = std::mem::replace(status, now);
            let same_lease = ReplicaStatus {
                lease_until: before.lease_until,
                ..now
            };
            before != same_lease || had_lease != now.lease_until.is_some()
        });
        self.members.send_if_modified(|members| {
            let changed = members != replica.log().members();
            if changed {
                members.clone_from(replica.log().members());
            }
            changed
        });
        let formed = replica.log().last_index() > 0;
        self.hello
            .send_if_modified(|hello| std::mem::replace(&mut hello.formed, formed) != formed);
    }

    /// Stops without another vote or answer, since it is not known what the disk holds.
    fn fail(&mut self, error: &io::Error) {
        log::error!(error:%; "the data folder cannot be written; the replica stops");
        self.status.send_modify(|status| {
            status.storage_failed = true;
            status.leader = None;
            status.lease_until = None;
        });
    }
}
