//! The task that keeps a connection to the leading control replica.

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

use super::LeasedConfig;
use super::link::ControlRequest;
use crate::metrics::Metrics;

/// Maximum number of requests, and so of claims, in one batch.
const MAX_BATCH: usize = 256;

/// Pause before the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Time limit for connecting to a replica.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Renewal intervals without a message after which the connection is given up.
const MAX_SILENT_INTERVALS: u32 = 3;

/// Maximum number of renewals whose lease is awaited; beyond it all are forgotten.
const MAX_PENDING_RENEWALS: usize = 64;

/// Keeps the entry's lease on the configuration renewed and sends its claims.
#[derive(Debug)]
pub(super) struct Session {
    info: EntryInfo,
    replicas: Vec<SocketAddr>,
    renewal_interval: Duration,
    keys: Option<Keys>,
    config: Arc<FleetConfig>,
    leased: watch::Sender<LeasedConfig>,
    readiness: Readiness,
    metrics: Option<Metrics>,
    /// Number of the last renewal or batch of claims.
    sequence: u64,
    /// When each renewal without a lease was sent, by its number.
    renewals: HashMap<u64, Instant>,
    /// Claims without verdicts, by the number of their batch.
    claims: BTreeMap<u64, Vec<PendingClaim>>,
}

/// A claim without a verdict.
#[derive(Debug)]
struct PendingClaim {
    claim: Claim,
    tx: oneshot::Sender<ClaimVerdict>,
}

/// Why a connection ended.
enum ConnectionEnd {
    /// The entry is stopping.
    Stopping,
    /// Another replica is to be tried: the leader, if it is known.
    Redirected(Option<SocketAddr>),
    /// The connection failed.
    Broken(WireError),
}

type ControlConnection = Connection<ControlToEntry, EntryToControl>;

impl Session {
    /// Creates a session that is not connected yet.
    pub(super) fn new(
        info: EntryInfo,
        replicas: Vec<SocketAddr>,
        renewal_interval: Duration,
    ) -> Self {
        Self {
            info,
            replicas,
            renewal_interval,
            keys: None,
            config: Arc::default(),
            leased: watch::Sender::new(LeasedConfig::none()),
            readiness: Readiness::new(),
            metrics: None,
            sequence: 0,
            renewals: HashMap::new(),
            claims: BTreeMap::new(),
        }
    }

    /// Sets the keys for mutual authentication with the control replicas.
    #[must_use]
    pub(super) fn with_keys(mut self, keys: Option<Keys>) -> Self {
        self.keys = keys;
        self
    }

    /// Sets where the leased configuration and the readiness are published.
    #[must_use]
    pub(super) fn publish_to(
        mut self,
        leased: watch::Sender<LeasedConfig>,
        readiness: Readiness,
    ) -> Self {
        self.leased = leased;
        self.readiness = readiness;
        self
    }

    /// Sets the metrics that show the version of the configuration.
    #[must_use]
    pub(super) fn with_metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = Some(metrics);
        self
    }

    /// Keeps a connection until every handle is dropped.
    ///
    /// The session outlives the beginning of the shutdown: requests in flight still need verdicts
    /// and report their ends.
    pub(super) async fn run(
        mut self,
        mut requests: mpsc::Receiver<ControlRequest>,
        timer: Timer,
        mut shutdown: Shutdown,
    ) {
        let mut attempt = 0;
        let mut leader = None;
        while !requests.is_closed() {
            let address = leader
                .take()
                .unwrap_or(self.replicas[attempt % self.replicas.len()]);
            attempt += 1;
            let connect = ControlConnection::connect_with(address, self.keys.as_ref());
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, connect);
            let end = match connect.await {
                Ok(Ok(connection)) => {
                    self.serve(connection, &mut requests, &timer, &mut shutdown)
                        .await
                }
                Ok(Err(error)) => ConnectionEnd::Broken(error),
                Err(_elapsed) => ConnectionEnd::Redirected(None),
            };
            self.renewals.clear();
            match end {
                ConnectionEnd::Stopping => return,
                ConnectionEnd::Redirected(to) => leader = to,
                ConnectionEnd::Broken(error) => {
                    let error = masticfield_node::program::error_chain(&error);
                    log::info!(replica:% = address, error; "connection to a control replica failed");
                }
            }
            self.update_readiness();
            timer.after(RECONNECT_PAUSE).recv().await;
        }
    }

    /// Exchanges messages over a connection until it ends.
    async fn serve(
        &mut self,
        connection: ControlConnection,
        requests: &mut mpsc::Receiver<ControlRequest>,
        timer: &Timer,
        shutdown: &mut Shutdown,
    ) -> ConnectionEnd {
        let (mut reader, mut writer) = connection.split();
        let mut ticks = timer.every(self.renewal_interval);
        let mut batch = Vec::new();
        let mut last_received = Instant::now();
        let handshake = [EntryToControl::Hello(self.info.clone()), self.renew()];
        for msg in handshake.into_iter().chain(self.repeat_claims()) {
            if let Err(error) = writer.send(&msg).await {
                return ConnectionEnd::Broken(error);
            }
        }
        loop {
            let msgs = tokio::select! {
                received = reader.receive() => match received {
                    Ok(ControlToEntry::NotLeader { leader }) => {
                        return ConnectionEnd::Redirected(leader);
                    }
                    Ok(msg) => {
                        last_received = Instant::now();
                        self.handle_message(msg)
                    }
                    Err(error) => return ConnectionEnd::Broken(error),
                },
                count = requests.recv_many(&mut batch, MAX_BATCH) => {
                    if count == 0 {
                        return ConnectionEnd::Stopping;
                    }
                    self.messages_for(&mut batch)
                }
                _ = ticks.recv() => {
                    self.update_readiness();
                    if last_received.elapsed() > self.renewal_interval * MAX_SILENT_INTERVALS {
                        return ConnectionEnd::Redirected(None);
                    }
                    vec![self.renew()]
                }
                () = shutdown.requested(), if !shutdown.is_requested() => {
                    self.update_readiness();
                    Vec::new()
                }
            };
            for msg in msgs {
                if let Err(error) = writer.send(&msg).await {
                    return ConnectionEnd::Broken(error);
                }
            }
        }
    }

    /// Creates a renewal of the lease and records when it is sent.
    fn renew(&mut self) -> EntryToControl {
        self.sequence += 1;
        if self.renewals.len() >= MAX_PENDING_RENEWALS {
            self.renewals.clear();
        }
        self.renewals.insert(self.sequence, Instant::now());
        EntryToControl::Renew {
            sequence: self.sequence,
            version: self.config.version(),
        }
    }

    /// Drains a batch of requests into messages, at most one of each kind.
    fn messages_for(&mut self, batch: &mut Vec<ControlRequest>) -> Vec<EntryToControl> {
        let (mut claims, mut ended, mut changed) = (vec![], vec![], vec![]);
        for request in batch.drain(..) {
            match request {
                ControlRequest::Claim(claim, tx) => claims.push(PendingClaim { claim, tx }),
                ControlRequest::EndClaim(end) => ended.push(end),
                ControlRequest::ReportUpstream(announcement) => changed.push(announcement),
            }
        }
        let mut msgs = Vec::new();
        msgs.extend(self.claims_message(claims));
        if !ended.is_empty() {
            msgs.push(EntryToControl::EndedClaims(ended));
        }
        if !changed.is_empty() {
            msgs.push(EntryToControl::Upstreams {
                changed,
                expired: Vec::new(),
            });
        }
        msgs
    }

    /// Creates the message for those of the claims whose verdict is still awaited.
    fn claims_message(&mut self, mut pending: Vec<PendingClaim>) -> Option<EntryToControl> {
        pending.retain(|claim| !claim.tx.is_closed());
        if pending.is_empty() {
            return None;
        }
        self.sequence += 1;
        let claims = pending.iter().map(|pending| pending.claim).collect();
        self.claims.insert(self.sequence, pending);
        Some(EntryToControl::Claims {
            sequence: self.sequence,
            claims,
        })
    }

    /// Repeats the claims that got no verdict on an earlier connection.
    ///
    /// A claim names its dispatch, by which the control replicas recognize a repeated one.
    fn repeat_claims(&mut self) -> Vec<EntryToControl> {
        let pending = std::mem::take(&mut self.claims).into_values();
        let pending: Vec<_> = pending.collect();
        let batches = pending.into_iter();
        batches
            .filter_map(|batch| self.claims_message(batch))
            .collect()
    }

    /// Handles a message and returns the messages to send in response.
    fn handle_message(&mut self, msg: ControlToEntry) -> Vec<EntryToControl> {
        match msg {
            ControlToEntry::NotLeader { .. } => Vec::new(),
            ControlToEntry::Config(config) => self.accept_config(*config),
            ControlToEntry::Lease {
                sequence,
                version,
                ttl,
            } => {
                self.extend_lease(sequence, version, ttl);
                Vec::new()
            }
            ControlToEntry::Verdicts { sequence, verdicts } => {
                let pending = self.claims.remove(&sequence).unwrap_or_default();
                for (pending, verdict) in pending.into_iter().zip(verdicts) {
                    // Fails only if the claim was given up; its caller has been answered.
                    let _ = pending.tx.send(verdict);
                }
                Vec::new()
            }
        }
    }

    /// Accepts a newer configuration and acknowledges it at once by a renewal.
    fn accept_config(&mut self, config: FleetConfig) -> Vec<EntryToControl> {
        if config.version() <= self.config.version() {
            return Vec::new();
        }
        log::info!(version = config.version(); "received a new configuration");
        self.config = Arc::new(config);
        let expires_at = self.leased.borrow().expires_at;
        self.publish(expires_at);
        vec![self.renew()]
    }

    /// Extends the lease by `ttl`, counted from when its renewal was sent.
    ///
    /// A lease on a version that has not arrived yet is ignored.
    fn extend_lease(&mut self, sequence: u64, version: u64, ttl: Duration) {
        let Some(sent_at) = self.renewals.remove(&sequence) else {
            return;
        };
        if version > self.config.version() {
            return;
        }
        let expires_at = (sent_at + ttl).max(self.leased.borrow().expires_at);
        self.publish(expires_at);
    }

    /// Publishes the configuration with the end of its lease.
    fn publish(&self, expires_at: Instant) {
        let config = Arc::clone(&self.config);
        if let Some(metrics) = &self.metrics {
            metrics.set_config_version(config.version());
        }
        self.leased
            .send_replace(LeasedConfig { config, expires_at });
        self.update_readiness();
    }

    /// Marks the entry as ready while its lease is valid.
    fn update_readiness(&self) {
        self.readiness
            .set(self.leased.borrow().is_valid(Instant::now()));
    }
}
