//! An entry's connection to the leading replica.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::Reply;
use masticfield_jobs::protocol::{FromEntry, ToEntry};
use masticfield_wire::{Connection, FrameReader, FrameWriter, WireError};
use tokio::sync::{mpsc, watch};

use super::link_handle::{LeaderLinkHandle, LeaderLinkStatus, Question};
use super::metrics::JobRequestMetrics;
use super::pending::Pending;

/// Longest wait for a connection and its first message.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Wait before the replicas are tried again after none led.
const TRY_AGAIN_AFTER: Duration = Duration::from_millis(120);

/// Longest silence of the leading replica, which speaks each 0.4 s.
const SILENCE: Duration = Duration::from_millis(1_100);

/// Time between two signs of the entry.
const ALIVE_EVERY: Duration = Duration::from_millis(700);

/// Time between two looks at questions that wait.
const EXPIRE_EVERY: Duration = Duration::from_millis(100);

/// Questions that are sent in one frame, at most.
const MAX_BATCH: usize = 128;

/// Longest time for the network to take a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// The halves of a connection to the leading replica.
type Halves = (FrameReader<Vec<ToEntry>>, FrameWriter<Vec<FromEntry>>);

type Leader = Connection<Vec<ToEntry>, Vec<FromEntry>>;

/// Where the replicas are and who asks.
#[derive(Debug, Clone)]
pub struct LeaderLinkOptions {
    /// Number that this process drew at its start.
    pub process: u64,
    /// Addresses for entries of some replicas.
    pub seeds: Vec<SocketAddr>,
    /// Port for entries of every replica.
    pub port: u16,
}

/// An entry's connection to the leading replica, opened again whenever it is lost.
#[derive(Debug)]
pub struct LeaderLink {
    options: LeaderLinkOptions,
    rx: mpsc::UnboundedReceiver<Question>,
    status: watch::Sender<LeaderLinkStatus>,
    metrics: JobRequestMetrics,
    pending: Pending,
    /// Replicas that were heard of.
    known: BTreeSet<SocketAddr>,
    /// Replica that is tried next.
    next: Option<SocketAddr>,
    turn: usize,
}

/// What became of an attempt to reach the leading replica.
enum Found {
    Leader(Box<Halves>),
    Other,
    Nobody,
}

impl LeaderLink {
    /// Creates the connection's task and its handle.
    pub fn new(options: LeaderLinkOptions, metrics: JobRequestMetrics) -> (Self, LeaderLinkHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let (status_tx, status) = watch::channel(LeaderLinkStatus::default());
        let link = Self {
            known: options.seeds.iter().copied().collect(),
            options,
            rx,
            status: status_tx,
            metrics,
            pending: Pending::default(),
            next: None,
            turn: 0,
        };
        (link, LeaderLinkHandle { tx, status })
    }

    /// Runs until the last handle is dropped.
    pub async fn run(mut self) {
        let mut misses = 0_usize;
        while !(self.rx.is_closed() && self.pending.is_empty()) {
            match self.find().await {
                Found::Leader(connection) => {
                    misses = 0;
                    log::info!("the leading replica is connected");
                    self.metrics.connected(true);
                    let (reader, writer) = *connection;
                    let end = self.serve(reader, writer).await;
                    let why = end.err().map(|error| error.to_string()).unwrap_or_default();
                    log::info!(why; "the leading replica is not connected");
                    self.metrics.connected(false);
                    self.status.send_modify(|status| status.connected = false);
                }
                Found::Other => self.wait(TRY_AGAIN_AFTER / 4).await,
                Found::Nobody => {
                    misses += 1;
                    let rounds = misses.div_ceil(self.known.len().max(1));
                    if misses.is_multiple_of(self.known.len().max(1)) || rounds > 1 {
                        self.wait(TRY_AGAIN_AFTER).await;
                    }
                }
            }
            self.collect();
        }
    }

    /// Waits, and takes up questions meanwhile.
    async fn wait(&mut self, time: Duration) {
        tokio::time::sleep(time).await;
        self.collect();
    }

    fn collect(&mut self) {
        let now = boot_now();
        while let Ok(question) = self.rx.try_recv() {
            self.pending.add(now, question, false);
        }
        self.pending.expire(now);
    }

    /// Tries the replica that is said to lead, else one after the other.
    async fn find(&mut self) -> Found {
        let address = self.next.take().or_else(|| {
            self.turn += 1;
            let turn = self.turn % self.known.len().max(1);
            self.known.iter().nth(turn).copied()
        });
        let Some(address) = address else {
            return Found::Nobody;
        };
        let process = self.options.process;
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, connect(address, process));
        tokio::pin!(connecting);
        let connected = loop {
            tokio::select! {
                connected = &mut connecting => break connected,
                () = tokio::time::sleep(EXPIRE_EVERY) => {
                    let now = boot_now();
                    while let Ok(question) = self.rx.try_recv() {
                        self.pending.add(now, question, false);
                    }
                    self.pending.expire(now);
                }
            }
        };
        let Ok(Ok((reader, writer, group))) = connected else {
            return Found::Nobody;
        };
        let ToEntry::Group {
            leads,
            leader,
            members,
        } = group
        else {
            return Found::Nobody;
        };
        let port = self.options.port;
        let with_port = |address: SocketAddr| SocketAddr::new(address.ip(), port);
        if !members.is_empty() {
            self.known = members.into_iter().map(with_port).collect();
            self.known.extend(&self.options.seeds);
        }
        if leads {
            return Found::Leader(Box::new((reader, writer)));
        }
        self.next = leader.map(with_port).filter(|leader| *leader != address);
        if self.next.is_some() {
            Found::Other
        } else {
            Found::Nobody
        }
    }

    async fn serve(
        &mut self,
        mut reader: FrameReader<Vec<ToEntry>>,
        mut writer: FrameWriter<Vec<FromEntry>>,
    ) -> Result<(), WireError> {
        let waiting = self.pending.send_all();
        if !waiting.is_empty() {
            send(&mut writer, &waiting).await?;
        }
        self.status.send_modify(|status| status.connected = true);
        let (mut heard, mut said) = (boot_now(), boot_now());
        let mut questions = Vec::new();
        let mut checks = tokio::time::interval(EXPIRE_EVERY);
        checks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                received = reader.receive() => {
                    heard = boot_now();
                    for message in received? {
                        self.take(message);
                    }
                }
                count = self.rx.recv_many(&mut questions, MAX_BATCH) => {
                    if count == 0 {
                        return Ok(());
                    }
                    said = boot_now();
                    let messages = questions.drain(..);
                    let messages: Vec<_> = messages
                        .map(|question| self.pending.add(said, question, true))
                        .collect();
                    send(&mut writer, &messages).await?;
                }
                _ = checks.tick() => {
                    let now = boot_now();
                    self.pending.expire(now);
                    if now > heard + SILENCE {
                        return Ok(());
                    }
                    if now > said + ALIVE_EVERY {
                        said = now;
                        send(&mut writer, &vec![FromEntry::Heartbeat]).await?;
                    }
                }
            }
        }
    }

    fn take(&mut self, message: ToEntry) {
        match message {
            // The next leader settles what this one could not.
            ToEntry::Reply {
                reply: Reply::Unknown,
                ..
            }
            | ToEntry::Heartbeat => {}
            ToEntry::Reply { number, reply } => self.pending.answer(number, reply),
            ToEntry::Limits(limits) => self.status.send_modify(|status| status.limits = limits),
            ToEntry::Group { members, .. } => {
                let port = self.options.port;
                let members = members.into_iter();
                let members = members.map(|address| SocketAddr::new(address.ip(), port));
                self.known.extend(members);
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

type Connected = (
    FrameReader<Vec<ToEntry>>,
    FrameWriter<Vec<FromEntry>>,
    ToEntry,
);

async fn connect(address: SocketAddr, process: u64) -> Result<Connected, WireError> {
    let mut connection = Leader::connect(address).await?;
    connection.send(&vec![FromEntry::Hello { process }]).await?;
    let first = connection.receive().await?;
    let group = first.into_iter().next().ok_or(WireError::Closed)?;
    let (reader, writer) = connection.split();
    Ok((reader, writer, group))
}
