//! The task that keeps the connection with the leading control replica.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::claim::{Claim, ClaimVerdict};
use masticfield_core::config::FleetConfig;
use masticfield_core::kernel::Shutdown;
use masticfield_core::membership::EntryInfo;
use masticfield_core::timer::Timer;
use masticfield_node::admin::Readiness;
use masticfield_wire::control::{ControlToEntry, EntryToControl};
use masticfield_wire::{Connection, Keys, WireError};
use tokio::sync::{mpsc, oneshot, watch};

use super::Served;
use super::link::Ask;
use crate::metrics::Metrics;

/// Claims that are sent in one message, at most.
const MAX_CLAIM_BATCH: usize = 256;

/// Pause before another replica is tried.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Time within which a replica must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a message after which a connection counts as broken, in renewals.
const SILENT_RENEWALS: u32 = 3;

/// Renewals that are remembered until their lease arrives.
const MAX_RENEWALS: usize = 64;

/// Keeps the configuration, the lease and the claims of an entry going.
#[derive(Debug)]
pub(super) struct Session {
    info: EntryInfo,
    replicas: Vec<SocketAddr>,
    renewal: Duration,
    keys: Option<Keys>,
    config: Arc<FleetConfig>,
    served: watch::Sender<Served>,
    readiness: Readiness,
    metrics: Option<Metrics>,
    sequence: u64,
    renewals: HashMap<u64, Instant>,
    claims: BTreeMap<u64, Vec<WaitingClaim>>,
}

/// A claim without a verdict.
#[derive(Debug)]
struct WaitingClaim {
    claim: Claim,
    tx: oneshot::Sender<ClaimVerdict>,
}

/// How a connection ended.
enum Ended {
    /// The entry stops.
    Stopping,
    /// Another replica leads.
    Redirected(Option<SocketAddr>),
    /// The connection broke.
    Broken(WireError),
}

type Link = Connection<ControlToEntry, EntryToControl>;

impl Session {
    /// Creates a session that is not connected yet.
    pub(super) fn new(info: EntryInfo, replicas: Vec<SocketAddr>, renewal: Duration) -> Self {
        Self {
            info,
            replicas,
            renewal,
            keys: None,
            config: Arc::default(),
            served: watch::Sender::new(Served::nothing()),
            readiness: Readiness::new(),
            metrics: None,
            sequence: 0,
            renewals: HashMap::new(),
            claims: BTreeMap::new(),
        }
    }

    /// Sets the keys that are proved to the control replicas.
    #[must_use]
    pub(super) fn keys(mut self, keys: Option<Keys>) -> Self {
        self.keys = keys;
        self
    }

    /// Sets where the configuration and the readiness are told.
    #[must_use]
    pub(super) fn publish_to(
        mut self,
        served: watch::Sender<Served>,
        readiness: Readiness,
    ) -> Self {
        self.served = served;
        self.readiness = readiness;
        self
    }

    /// Sets the metrics that count versions.
    #[must_use]
    pub(super) fn count_with(mut self, metrics: Metrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Keeps a connection until the shutdown begins or the handle is dropped.
    pub(super) async fn run(
        mut self,
        mut asks: mpsc::Receiver<Ask>,
        timer: Timer,
        mut shutdown: Shutdown,
    ) {
        let mut next = 0;
        let mut redirect = None;
        while !asks.is_closed() {
            let address = redirect
                .take()
                .unwrap_or(self.replicas[next % self.replicas.len()]);
            next += 1;
            let connect = Link::connect_with(address, self.keys.as_ref());
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect);
            let ended = match connect.await {
                Ok(Ok(link)) => self.converse(link, &mut asks, &timer, &mut shutdown).await,
                Ok(Err(error)) => Ended::Broken(error),
                Err(_late) => Ended::Redirected(None),
            };
            self.renewals.clear();
            match ended {
                Ended::Stopping => return,
                Ended::Redirected(leader) => redirect = leader,
                Ended::Broken(error) => {
                    let error = masticfield_node::program::chain(&error);
                    log::info!(replica:% = address, error; "no connection to a control replica");
                }
            }
            self.tell_readiness();
            timer.after(RECONNECT_PAUSE).recv().await;
        }
    }

    async fn converse(
        &mut self,
        link: Link,
        asks: &mut mpsc::Receiver<Ask>,
        timer: &Timer,
        shutdown: &mut Shutdown,
    ) -> Ended {
        let (mut reader, mut writer) = link.split();
        let mut ticks = timer.every(self.renewal);
        let mut batch = Vec::new();
        let mut heard_at = Instant::now();
        let greeting = [EntryToControl::Hello(self.info.clone()), self.renew()];
        for msg in greeting.into_iter().chain(self.claim_again()) {
            if let Err(error) = writer.send(&msg).await {
                return Ended::Broken(error);
            }
        }
        loop {
            let msgs = tokio::select! {
                received = reader.receive() => match received {
                    Ok(ControlToEntry::NotLeader { leader }) => return Ended::Redirected(leader),
                    Ok(msg) => {
                        heard_at = Instant::now();
                        self.receive(msg)
                    }
                    Err(error) => return Ended::Broken(error),
                },
                count = asks.recv_many(&mut batch, MAX_CLAIM_BATCH) => {
                    if count == 0 {
                        return Ended::Stopping;
                    }
                    self.ask(&mut batch)
                }
                _ = ticks.recv() => {
                    self.tell_readiness();
                    if heard_at.elapsed() > self.renewal * SILENT_RENEWALS {
                        return Ended::Redirected(None);
                    }
                    vec![self.renew()]
                }
                () = shutdown.begun(), if !shutdown.is_begun() => {
                    self.tell_readiness();
                    Vec::new()
                }
            };
            for msg in msgs {
                if let Err(error) = writer.send(&msg).await {
                    return Ended::Broken(error);
                }
            }
        }
    }

    fn renew(&mut self) -> EntryToControl {
        self.sequence += 1;
        if self.renewals.len() >= MAX_RENEWALS {
            self.renewals.clear();
        }
        self.renewals.insert(self.sequence, Instant::now());
        EntryToControl::Renew {
            sequence: self.sequence,
            version: self.config.version(),
        }
    }

    /// Turns what was asked into messages, all claims in one.
    fn ask(&mut self, batch: &mut Vec<Ask>) -> Vec<EntryToControl> {
        let (mut waiting, mut ends, mut changed) = (vec![], vec![], vec![]);
        for ask in batch.drain(..) {
            match ask {
                Ask::Claim(claim, tx) => waiting.push(WaitingClaim { claim, tx }),
                Ask::End(ended) => ends.push(ended),
                Ask::Report(announcement) => changed.push(announcement),
            }
        }
        let mut msgs = Vec::new();
        msgs.extend(self.claim_all(waiting));
        if !ends.is_empty() {
            msgs.push(EntryToControl::EndedClaims(ends));
        }
        if !changed.is_empty() {
            msgs.push(EntryToControl::Upstreams {
                changed,
                expired: Vec::new(),
            });
        }
        msgs
    }

    /// Asks for verdicts; claimants that no longer wait are left out.
    fn claim_all(&mut self, mut waiting: Vec<WaitingClaim>) -> Option<EntryToControl> {
        waiting.retain(|claim| !claim.tx.is_closed());
        if waiting.is_empty() {
            return None;
        }
        self.sequence += 1;
        let claims = waiting.iter().map(|waiting| waiting.claim).collect();
        self.claims.insert(self.sequence, waiting);
        Some(EntryToControl::Claims {
            sequence: self.sequence,
            claims,
        })
    }

    /// Repeats the claims that an earlier connection left without a verdict.
    ///
    /// A claim is by its dispatch, so a repeated one is recognized.
    fn claim_again(&mut self) -> Vec<EntryToControl> {
        let unanswered = std::mem::take(&mut self.claims).into_values();
        let unanswered: Vec<_> = unanswered.collect();
        let again = unanswered.into_iter();
        again
            .filter_map(|waiting| self.claim_all(waiting))
            .collect()
    }

    fn receive(&mut self, msg: ControlToEntry) -> Vec<EntryToControl> {
        match msg {
            ControlToEntry::NotLeader { .. } => Vec::new(),
            ControlToEntry::Config(config) => self.take_config(*config),
            ControlToEntry::Lease {
                sequence,
                version,
                ttl,
            } => {
                self.take_lease(sequence, version, ttl);
                Vec::new()
            }
            ControlToEntry::Verdicts { sequence, verdicts } => {
                let waiting = self.claims.remove(&sequence).unwrap_or_default();
                for (waiting, verdict) in waiting.into_iter().zip(verdicts) {
                    // A claimant that no longer waits has told its caller already.
                    let _ = waiting.tx.send(verdict);
                }
                Vec::new()
            }
        }
    }

    /// Takes a newer configuration and acknowledges it at once.
    fn take_config(&mut self, config: FleetConfig) -> Vec<EntryToControl> {
        if config.version() <= self.config.version() {
            return Vec::new();
        }
        log::info!(version = config.version(); "a configuration arrived");
        self.config = Arc::new(config);
        let until = self.served.borrow().until;
        self.publish(until);
        vec![self.renew()]
    }

    /// Prolongs the lease from when its renewal was sent.
    fn take_lease(&mut self, sequence: u64, version: u64, ttl: Duration) {
        let Some(asked_at) = self.renewals.remove(&sequence) else {
            return;
        };
        if version > self.config.version() {
            return;
        }
        let until = (asked_at + ttl).max(self.served.borrow().until);
        self.publish(until);
    }

    fn publish(&self, until: Instant) {
        let config = Arc::clone(&self.config);
        if let Some(metrics) = &self.metrics {
            metrics.serve_version(config.version());
        }
        self.served.send_replace(Served { config, until });
        self.tell_readiness();
    }

    fn tell_readiness(&self) {
        self.readiness
            .set(self.served.borrow().holds(Instant::now()));
    }
}
