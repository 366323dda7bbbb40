//! Task that drives the consensus of a replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_core::ids::ReplicaId;
use masticfield_wire::Keys;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

use super::deliver::Delivery;
use super::disk_writer::{DiskError, DiskWriter, Done};
use super::full_disk::NoSpace;
use super::known_peers::KnownPeers;
use super::link::Link;
use super::message::{Hello, PeerMessage};
use super::request::{PendingReply, Request};
use super::traffic::TrafficCounter;
use crate::consensus::{Appended, Envelope, Event, MembershipChangeError, Output, Replica, Timing};
use crate::reconciler::{self, MemberContact};
use crate::storage::StorageSize;
use crate::{Applied, AppliedKind, EntryBody, Identity, Membership, ReplicaStatus, Write};

/// Interval of the ticks by which timeouts are checked.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests or messages that one pass of the loop handles.
const MAX_BATCH: usize = 1_024;

/// Interval of the hellos that a replica sends while it knows no leader.
const HELLO_INTERVAL: Duration = Duration::from_millis(200);

/// Number of pending replies at which the loop stops receiving requests.
const MAX_PENDING_REPLIES: usize = 8_192;

/// A replica with its disk, connections and clock.
#[derive(Debug)]
pub(super) struct RunningReplica {
    pub(super) replica: Replica,
    pub(super) timing: Timing,
    pub(super) disk: DiskWriter,
    /// Writes of the next batch.
    pub(super) pending_writes: Vec<Write>,
    /// Messages to send once the next batch is durable.
    pub(super) pending_messages: Vec<Envelope>,
    /// Messages to send once the submitted batch is durable; `None` if no batch is submitted.
    pub(super) syncing_messages: Option<Vec<Envelope>>,
    /// Set while the data folder cannot be written for lack of space.
    pub(super) no_space: Option<NoSpace>,
    /// Size of the data folder after the last write.
    pub(super) size: StorageSize,
    /// Size of the disk, in bytes; `None` if it is not known.
    pub(super) disk_bytes: Option<u64>,
    pub(super) links: BTreeMap<ReplicaId, Link>,
    /// Configured peers.
    pub(super) peers: Vec<(ReplicaId, SocketAddr)>,
    /// Hello that links send.
    pub(super) hello: watch::Sender<Hello>,
    pub(super) known_peers: KnownPeers,
    /// By the index of the entry; all entries are of the current term.
    pub(super) pending_replies: BTreeMap<u64, PendingReply>,
    /// Index up to which entries have been delivered.
    pub(super) delivered_index: u64,
    /// Index of the last payload or snapshot that was delivered.
    pub(super) last_payload_index: u64,
    /// Keeps the channel of messages open if the replica does not listen.
    pub(super) _received: mpsc::Sender<PeerMessage>,
    pub(super) deliveries: mpsc::UnboundedSender<Delivery>,
    pub(super) status: watch::Sender<ReplicaStatus>,
    pub(super) members: watch::Sender<Membership>,
    pub(super) traffic: Arc<TrafficCounter>,
    /// When to send the next hello while no leader is known.
    pub(super) next_hello_at: Duration,
    pub(super) keys: Option<Keys>,
    /// Number of voters that a leader maintains; `None` if operators change the members.
    pub(super) target_voters: Option<usize>,
}

/// Draws a random delay for election timeouts.
pub(super) fn random_jitter(timing: Timing) -> Duration {
    timing.max_election_jitter.mul_f64(rand::random::<f64>())
}

impl RunningReplica {
    /// Runs until the last handle or the receiver of entries is dropped, or the disk fails.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<Request>,
        mut received: mpsc::Receiver<PeerMessage>,
    ) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        let (mut request_batch, mut message_batch) = (Vec::new(), Vec::new());
        self.connect_and_bootstrap();
        loop {
            tokio::select! {
                result = self.disk.next_result(), if self.is_disk_busy() => match result {
                    Ok(Done::Stored(size)) => self.on_synced(size),
                    Ok(Done::Recovered(stored)) => self.on_recovered(stored),
                    Err(DiskError::NoSpace { reason }) => self.on_no_space(&reason),
                    Err(error) => return self.report_disk_failure(&error),
                },
                _ = received.recv_many(&mut message_batch, MAX_BATCH) => {
                    message_batch.drain(..).for_each(|message| self.handle_message(message));
                }
                count = requests.recv_many(&mut request_batch, MAX_BATCH), if self.pending_replies.len() < MAX_PENDING_REPLIES => {
                    if count == 0 {
                        return;
                    }
                    self.handle_requests(request_batch.drain(..));
                }
                _ = ticks.tick() => {
                    let jitter = random_jitter(self.timing);
                    self.step(Event::Tick { jitter });
                    self.repeat_hello();
                    self.reconcile_members();
                    self.retry_disk();
                }
                () = self.deliveries.closed() => return,
            }
            self.submit_writes();
            self.publish();
        }
    }

    /// Passes an event to the consensus and carries out its output.
    pub(super) fn step(
        &mut self,
        event: Event,
    ) -> (Option<Appended>, Option<MembershipChangeError>) {
        let now = boot_now();
        let Output {
            writes,
            send,
            send_after_sync,
            appended,
            refused,
        } = self.replica.step(now, event);
        if self.no_space.is_none() {
            self.pending_writes.extend(writes);
            self.pending_messages.extend(send_after_sync);
        }
        for envelope in send {
            self.send(envelope);
        }
        self.settle_pending_replies();
        self.deliver();
        (appended, refused)
    }

    fn handle_message(&mut self, message: PeerMessage) {
        match message {
            PeerMessage::Hello(hello) => self.handle_hello(hello),
            PeerMessage::Consensus(envelope) => {
                self.step(Event::Received(envelope));
            }
            PeerMessage::Bootstrap(members) => {
                let proposed = members.voters().map(Identity::id);
                if proposed.eq(self.hello.borrow().initial_members.iter().copied()) {
                    self.step(Event::Bootstrap(members));
                }
            }
            PeerMessage::Members(members) => {
                for (member, address) in members.members() {
                    self.connect(member.id(), address);
                }
            }
        }
    }

    /// Records a peer, and sends it the group if it holds no state yet.
    fn handle_hello(&mut self, hello: Hello) {
        let (peer, has_state) = (hello.identity, hello.has_state);
        self.connect(peer.id(), hello.address);
        self.known_peers.record(boot_now(), hello);
        self.connect_and_bootstrap();
        if has_state {
            return;
        }
        let first_entry = self.replica.log().entry(1).map(|entry| &entry.body);
        let link = self.links.get(&peer.id());
        if let (Some(EntryBody::Members(group)), Some(link)) = (first_entry, link)
            && group.is_voter(peer)
        {
            link.send(PeerMessage::Bootstrap(group.clone()));
        }
        let members = self.replica.log().members();
        if !members.contains(peer)
            && members.contains(self.replica.identity())
            && let Some(link) = link
        {
            link.send(PeerMessage::Members(members.clone()));
        }
    }

    /// Adds, promotes or removes a member if this replica leads and maintains the members.
    fn reconcile_members(&mut self) {
        let Some(target) = self.target_voters.filter(|_| self.replica.is_leader()) else {
            return;
        };
        let now = boot_now();
        let group = self.replica.log().members();
        let members = group.members().map(|(identity, _)| MemberContact {
            identity,
            since_contact: self
                .replica
                .time_since_contact(now, identity)
                .unwrap_or_default(),
        });
        let members: Vec<_> = members.collect();
        let joining = self.known_peers.joining(now, group);
        let Some(change) = reconciler::next_change(group, &members, &joining, target) else {
            return;
        };
        if let (Some(_), _) = self.step(Event::Change(change)) {
            log::info!(change:? = change; "members change");
        }
    }

    /// Sends hellos to the peers while no leader is known.
    ///
    /// The message that forms a group is sent once, and again in response to each hello; the first
    /// one is lost if the connection to this replica is not established yet. A leader lets replicas
    /// join that send hellos and are not members.
    fn repeat_hello(&mut self) {
        let now = boot_now();
        if self.replica.leader().is_some() || now < self.next_hello_at {
            return;
        }
        self.next_hello_at = now + HELLO_INTERVAL;
        let hello = self.hello.borrow().clone();
        for link in self.links.values() {
            link.send(PeerMessage::Hello(hello.clone()));
        }
    }

    /// Replaces the configured peers and connects to them. Links to former ones stay, as they may be
    /// members.
    pub(super) fn set_peers(&mut self, peers: Vec<(ReplicaId, SocketAddr)>) {
        self.peers = peers;
        self.connect_and_bootstrap();
    }

    /// Connects to the configured peers, and forms a group if all initial members agree.
    fn connect_and_bootstrap(&mut self) {
        for (id, address) in self.peers.clone() {
            self.connect(id, address);
        }
        let group = self.known_peers.initial_group(&self.hello.borrow());
        if let Some(group) = group {
            self.step(Event::Bootstrap(group.clone()));
            for link in self.links.values() {
                link.send(PeerMessage::Bootstrap(group.clone()));
            }
        }
    }

    /// Starts a link to a peer, or replaces it if the address has changed.
    fn connect(&mut self, id: ReplicaId, address: SocketAddr) {
        let current = self.links.get(&id).map(Link::address);
        if id != self.replica.identity().id() && current != Some(address) {
            let (hello, keys) = (self.hello.subscribe(), self.keys.clone());
            let link = Link::spawn(address, hello, keys, Arc::clone(&self.traffic));
            self.links.insert(id, link);
        }
    }

    /// Delivers the committed entries that have not been delivered yet.
    fn deliver(&mut self) {
        let log = self.replica.log();
        let snapshot = log.snapshot();
        if snapshot.index > self.delivered_index {
            self.delivered_index = snapshot.index;
            self.last_payload_index = snapshot.index;
            let applied = Applied {
                index: snapshot.index,
                payload: snapshot.data[..].into(),
                kind: AppliedKind::Snapshot,
            };
            // If the channel is closed, the loop ends.
            drop(self.deliveries.send(Delivery {
                applied,
                reply: None,
            }));
        }
        // The log is replaced by an earlier one after a lack of space.
        let committed = self
            .replica
            .commit_index()
            .saturating_sub(self.delivered_index);
        let entries = log.entries_from(self.delivered_index + 1).iter();
        for entry in entries.take(usize::try_from(committed).unwrap_or(usize::MAX)) {
            self.delivered_index = entry.index;
            let reply = match self.pending_replies.remove(&entry.index) {
                Some(PendingReply::Proposal(reply)) => Some(reply),
                Some(PendingReply::Change(reply)) => {
                    _ = reply.send(Ok(()));
                    None
                }
                None => None,
            };
            if let EntryBody::Payload(payload) = &entry.body {
                self.last_payload_index = entry.index;
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
            link.send(PeerMessage::Consensus(envelope));
        }
    }

    /// Submits the next batch of writes, unless one is submitted already.
    ///
    /// Messages that wait for no write are sent at once.
    fn submit_writes(&mut self) {
        while self.no_space.is_none()
            && self.syncing_messages.is_none()
            && !(self.pending_writes.is_empty() && self.pending_messages.is_empty())
        {
            let messages = std::mem::take(&mut self.pending_messages);
            if self.pending_writes.is_empty() {
                self.send_synced(messages);
            } else {
                self.disk.submit(std::mem::take(&mut self.pending_writes));
                self.syncing_messages = Some(messages);
            }
        }
    }

    /// Whether a result of the disk thread is due.
    fn is_disk_busy(&self) -> bool {
        self.syncing_messages.is_some() || self.no_space.is_some_and(|state| state.attempting)
    }

    fn on_synced(&mut self, size: StorageSize) {
        self.size = size;
        let messages = self.syncing_messages.take().unwrap_or_default();
        self.send_synced(messages);
    }

    /// Sends messages whose writes are durable; those to this replica itself are handled directly.
    fn send_synced(&mut self, messages: Vec<Envelope>) {
        let identity = self.replica.identity();
        for envelope in messages {
            if envelope.to == identity {
                self.step(Event::Received(envelope));
            } else {
                self.send(envelope);
            }
        }
    }

    /// Updates the status, the members and the hello, and wakes their receivers on a change.
    fn publish(&self) {
        let replica = &self.replica;
        let lease_until = replica.lease_until(boot_now());
        let current = ReplicaStatus {
            id: replica.identity().id(),
            leader: replica.leader().map(Identity::id),
            last_contact: replica.last_contact(),
            term: replica.term(),
            committed: self.last_payload_index,
            lease_until,
            storage_failed: false,
            lacks_space: replica.lacks_space(),
            majority_lacks_space: replica.majority_lacks_space(),
            needs_compaction: self
                .disk_bytes
                .is_some_and(|disk| self.size.needs_compaction(disk)),
            is_voter: replica.log().members().is_voter(replica.identity()),
        };
        self.status.send_if_modified(|status| {
            let had_lease = status.lease_until.is_some();
            let previous = std::mem::replace(status, current);
            let same_times = ReplicaStatus {
                lease_until: previous.lease_until,
                last_contact: previous.last_contact,
                ..current
            };
            previous != same_times || had_lease != current.lease_until.is_some()
        });
        self.members.send_if_modified(|members| {
            let changed = members != replica.log().members();
            if changed {
                members.clone_from(replica.log().members());
            }
            changed
        });
        let has_state = replica.log().last_index() > 0;
        self.hello.send_if_modified(|hello| {
            std::mem::replace(&mut hello.has_state, has_state) != has_state
        });
    }

    /// Reports that the replica stops, as it is not known what the disk holds after a failed write.
    fn report_disk_failure(&mut self, error: &DiskError) {
        log::error!(error:%; "the data folder cannot be written; the replica stops");
        self.status.send_modify(|status| {
            status.storage_failed = true;
            status.leader = None;
            status.lease_until = None;
        });
    }
}
