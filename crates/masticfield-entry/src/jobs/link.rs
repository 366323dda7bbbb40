//! The task that keeps an entry connected to the leading replica.

use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::Reply;
use masticfield_jobs::protocol::{FromEntry, ToEntry};
use masticfield_jobs::relay::{ConfirmedAnnouncements, RelayOffer};
use masticfield_wire::{Connection, FrameReader, FrameWriter, WireError};
use tokio::sync::{mpsc, watch};

use super::known_replicas::KnownReplicas;
use super::link_handle::{LeaderLinkHandle, LeaderLinkStatus, LinkInput, SharedAnnouncements};
use super::metrics::JobRequestMetrics;
use super::pending_requests::PendingRequests;
use super::relay::{Relay, RelayTask};

/// Time limit for connecting to a replica and receiving its first message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Pause between attempts once every known replica was tried without finding the leader.
const RETRY_INTERVAL: Duration = Duration::from_millis(120);

/// Number of passes over all known replicas without finding the leader after which this is logged,
/// and again after as many.
const REPORTED_PASSES: usize = 8;

/// Silence after which a connection counts as lost; the leader sends at least every 0.4 s.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Interval between heartbeats of an entry that sends nothing else.
///
/// Less than half of the silence after which the leader takes a relay out of use.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(550);

/// Interval at which the leader's clock is asked for, whatever else is sent.
const CLOCK_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks for requests whose time limit has passed.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of new requests in one frame.
const MAX_BATCH: usize = 128;

/// Time limit for writing a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// The halves of a connection to the leading replica.
type Halves = (FrameReader<Vec<ToEntry>>, FrameWriter<Vec<FromEntry>>);

type ReplicaConnection = Connection<Vec<ToEntry>, Vec<FromEntry>>;

/// Where to find the replicas, and how this entry identifies itself to them.
#[derive(Debug, Clone)]
pub struct LeaderLinkOptions {
    /// Random number that identifies this process; drawn anew at each start.
    pub process: u64,
    /// Addresses of replicas to try besides the members, which may change. Their ports are not used.
    pub seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Port on which every replica accepts entries; used with the IP addresses of replicas.
    pub port: u16,
}

/// An entry's connection to the leading replica, opened again whenever it is lost.
#[derive(Debug)]
pub struct LeaderLink {
    options: LeaderLinkOptions,
    rx: mpsc::UnboundedReceiver<LinkInput>,
    /// For the results of relayed calls.
    tx: mpsc::WeakUnboundedSender<LinkInput>,
    status: watch::Sender<LeaderLinkStatus>,
    metrics: JobRequestMetrics,
    pending: PendingRequests,
    announcements: SharedAnnouncements,
    /// Relays the leader's calls to executors; `None` if this entry does not.
    relay: Option<Relay>,
    replicas: KnownReplicas,
}

/// Result of an attempt to connect to the leading replica.
enum ConnectOutcome {
    Leader(Box<Halves>),
    /// The replica does not lead but named another as the leader.
    Redirected,
    /// The replica could not be reached or knows no leader.
    NoLeader,
}

impl LeaderLink {
    /// Creates a link, which connects once it [runs](Self::run), and a handle to it.
    pub fn new(options: LeaderLinkOptions, metrics: JobRequestMetrics) -> (Self, LeaderLinkHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let (status_tx, status) = watch::channel(LeaderLinkStatus::default());
        let announcements = SharedAnnouncements::default();
        let mut link = Self {
            replicas: KnownReplicas::new([]),
            options,
            rx,
            tx: tx.downgrade(),
            status: status_tx,
            metrics,
            pending: PendingRequests::default(),
            announcements: announcements.clone(),
            relay: None,
        };
        link.update_seeds();
        let handle = LeaderLinkHandle {
            tx,
            status,
            announcements,
        };
        (link, handle)
    }

    /// Offers to relay the leader's calls to executors; returns the receiver of these calls.
    ///
    /// The calls of a connection are sent to executors only as long as it is open.
    pub fn offer_relay(&mut self, offer: RelayOffer) -> mpsc::UnboundedReceiver<RelayTask> {
        let (relay, tasks) = Relay::new(offer, self.tx.clone());
        self.relay = Some(relay);
        tasks
    }

    /// Keeps the connection until every handle is dropped and no request is pending.
    pub async fn run(mut self) {
        let mut failures = 0_usize;
        while !(self.rx.is_closed() && self.pending.is_empty()) {
            match self.connect_to_leader().await {
                ConnectOutcome::Leader(connection) => {
                    failures = 0;
                    log::info!("the leading replica is connected");
                    self.metrics.record_connection(true);
                    let (reader, writer) = *connection;
                    let end = self.serve(reader, writer).await;
                    self.relay.iter().for_each(Relay::disconnect);
                    self.announcements.with(ConfirmedAnnouncements::clear);
                    let why = end.err().map(|error| error.to_string()).unwrap_or_default();
                    log::info!(why; "the leading replica is not connected");
                    self.metrics.record_connection(false);
                    self.status.send_modify(|status| status.connected = false);
                }
                ConnectOutcome::Redirected => self.pause(RETRY_INTERVAL / 4).await,
                ConnectOutcome::NoLeader => {
                    failures += 1;
                    // The first pass over all known replicas is made without pauses.
                    let count = self.replicas.count().max(1);
                    let passes = failures.div_ceil(count);
                    if failures.is_multiple_of(count * REPORTED_PASSES) {
                        let replicas = self.replicas.addresses();
                        log::warn!(replicas:? = replicas, passes; "none of the known replicas leads");
                    }
                    if failures.is_multiple_of(count) || passes > 1 {
                        self.pause(RETRY_INTERVAL).await;
                    }
                }
            }
            self.collect_requests();
        }
    }

    async fn pause(&mut self, time: Duration) {
        tokio::time::sleep(time).await;
        self.collect_requests();
    }

    /// Moves queued requests to the pending ones while there is no connection.
    fn collect_requests(&mut self) {
        let now = boot_now();
        while let Ok(input) = self.rx.try_recv() {
            if let LinkInput::Request(queued) = input {
                self.pending.add(now, queued, false);
            }
        }
        self.pending.expire(now);
    }

    fn update_seeds(&mut self) {
        let seeds = self.options.seeds.borrow_and_update().clone();
        self.replicas.set_seeds(self.entry_addresses(seeds));
    }

    /// Tries the next known replica.
    async fn connect_to_leader(&mut self) -> ConnectOutcome {
        if self.options.seeds.has_changed().unwrap_or_default() {
            self.update_seeds();
        }
        let Some(address) = self.replicas.next_to_try() else {
            return ConnectOutcome::NoLeader;
        };
        let (process, sent) = (self.options.process, boot_now());
        let hello = FromEntry::Hello {
            process,
            sent,
            relay: self.relay.as_ref().map(|relay| relay.offer.clone()),
        };
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address, hello));
        tokio::pin!(connecting);
        let connected = loop {
            tokio::select! {
                connected = &mut connecting => break connected,
                () = tokio::time::sleep(EXPIRY_CHECK_INTERVAL) => self.collect_requests(),
            }
        };
        let Ok(Ok((reader, writer, first))) = connected else {
            return ConnectOutcome::NoLeader;
        };
        let mut first = first.into_iter();
        let Some(ToEntry::Group {
            leads,
            leader,
            members,
        }) = first.next()
        else {
            return ConnectOutcome::NoLeader;
        };
        let members = self.entry_addresses(members);
        if leads {
            self.replicas.record_leader_list(members);
            if let Some(relay) = &mut self.relay {
                relay.connect();
            }
            first.for_each(|message| self.handle_message(message));
            return ConnectOutcome::Leader(Box::new((reader, writer)));
        }
        let leader = self.entry_addresses(leader).pop();
        if self.replicas.record_follower_list(address, leader, members) {
            ConnectOutcome::Redirected
        } else {
            ConnectOutcome::NoLeader
        }
    }

    /// Returns the addresses at which these replicas accept entries.
    fn entry_addresses(&self, replicas: impl IntoIterator<Item = SocketAddr>) -> Vec<SocketAddr> {
        let replicas = replicas.into_iter();
        let with_port = |address: SocketAddr| SocketAddr::new(address.ip(), self.options.port);
        replicas.map(with_port).collect()
    }

    /// Exchanges messages until the connection is lost or every handle is dropped.
    async fn serve(
        &mut self,
        mut reader: FrameReader<Vec<ToEntry>>,
        mut writer: FrameWriter<Vec<FromEntry>>,
    ) -> Result<(), WireError> {
        let unanswered = self.pending.send_all();
        if !unanswered.is_empty() {
            send(&mut writer, &unanswered).await?;
        }
        self.status.send_modify(|status| status.connected = true);
        let (mut last_received, mut last_sent) = (boot_now(), boot_now());
        let mut last_clock = last_sent;
        let mut batch = Vec::new();
        let mut checks = tokio::time::interval(EXPIRY_CHECK_INTERVAL);
        checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = reader.receive() => {
                    last_received = boot_now();
                    for message in received? {
                        self.handle_message(message);
                    }
                }
                count = self.rx.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return Ok(());
                    }
                    let now = boot_now();
                    let inputs = batch.drain(..);
                    let messages: Vec<_> = inputs
                        .filter_map(|input| self.message(now, input))
                        .collect();
                    if !messages.is_empty() {
                        last_sent = now;
                        send(&mut writer, &messages).await?;
                    }
                }
                _ = checks.tick() => {
                    let now = boot_now();
                    self.pending.expire(now);
                    if now > last_received + LEADER_TIMEOUT {
                        return Ok(());
                    }
                    let clock_due = self.relay.is_some() && now > last_clock + CLOCK_INTERVAL;
                    if clock_due || now > last_sent + HEARTBEAT_INTERVAL {
                        (last_sent, last_clock) = (now, now);
                        send(&mut writer, &vec![FromEntry::Heartbeat { sent: now }]).await?;
                    }
                }
            }
        }
    }

    /// Returns the message that carries an input over the current connection, if any.
    fn message(&mut self, now: Duration, input: LinkInput) -> Option<FromEntry> {
        match input {
            LinkInput::Request(queued) => Some(self.pending.add(now, queued, true)),
            LinkInput::AnnouncedAgain(announcement) => {
                Some(FromEntry::AnnouncedAgain(announcement))
            }
            LinkInput::CallResult {
                connection,
                number,
                result,
            } => {
                let current = self.relay.as_ref().map(Relay::connection);
                (current == Some(connection)).then_some(FromEntry::CallResult { number, result })
            }
        }
    }

    fn handle_message(&mut self, message: ToEntry) {
        match message {
            // A request of unknown outcome stays pending and is sent again to the next leader.
            ToEntry::Reply {
                reply: Reply::Unknown,
                ..
            }
            | ToEntry::Heartbeat => {}
            ToEntry::Reply { number, reply } => self.pending.resolve(number, reply),
            ToEntry::Call(call) => {
                if let Some(relay) = &self.relay {
                    relay.relay(call);
                }
            }
            ToEntry::Clock { sent, stamp } => {
                if let Some(relay) = &self.relay {
                    relay.record_leader_clock(sent, stamp);
                }
            }
            ToEntry::Limits(limits) => self.status.send_modify(|status| status.limits = limits),
            // A connection that has begun is one to the leader, which lists the members anew when
            // they change.
            ToEntry::Group { members, .. } => {
                let members = self.entry_addresses(members);
                log::info!(members:? = members; "the members of the control group have changed");
                self.replicas.record_leader_list(members);
            }
        }
    }
}

async fn send(
    writer: &mut FrameWriter<Vec<FromEntry>>,
    messages: &Vec<FromEntry>,
) -> Result<(), WireError> {
    let sent = tokio::time::timeout(SEND_TIMEOUT, writer.send(messages)).await;
    sent.unwrap_or(Err(WireError::Closed))
}

/// A new connection and the first messages of the replica.
type Connected = (
    FrameReader<Vec<ToEntry>>,
    FrameWriter<Vec<FromEntry>>,
    Vec<ToEntry>,
);

async fn connect(address: SocketAddr, hello: FromEntry) -> Result<Connected, WireError> {
    let mut connection = ReplicaConnection::connect(address).await?;
    connection.send(&vec![hello]).await?;
    let first = connection.receive().await?;
    let (reader, writer) = connection.split();
    Ok((reader, writer, first))
}
