//! A stand-in for operators.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use masticfield_core::kernel::Shutdown;
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_platform_stand_ins::{
    CONFIG_READ_PATH, CONFIG_WRITE_PATH, content_equals, decode_version, encode_config,
};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ControlClient;
use crate::checker::Observation;
use crate::recorder::Recorder;

/// Names of the pools.
pub(crate) const POOLS: [&str; 2] = ["pool-a", "pool-b"];

/// Names of all queues that a configuration may have; the first ones are in every configuration.
pub(crate) const QUEUES: [&str; 6] = ["q0", "q1", "q2", "q3", "x0", "x1"];

/// Number of queues that are in every configuration.
const LASTING_QUEUES: usize = 4;

/// Share of the configurations that are invalid.
const INVALID_SHARE: f64 = 0.1;

/// Share of the configurations after which an older one is sent again.
const REPEATED_SHARE: f64 = 0.2;

/// Interval between two configurations, in milliseconds.
const CHANGE_INTERVAL_MS: std::ops::Range<u64> = 300..4_000;

/// Interval between two reads.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Authority of all queues.
pub(crate) const AUTHORITY: &str = "soak.example";

/// The pool of a queue.
pub(crate) fn pool_of(queue: &str) -> &'static str {
    let index = QUEUES.iter().position(|name| *name == queue);
    POOLS[index.unwrap_or(0) % POOLS.len()]
}

/// Sends configurations and reads them.
#[derive(Debug, Clone)]
pub(crate) struct Operator {
    client: ControlClient,
    controls: Arc<[SocketAddr]>,
    recorder: Recorder,
    state: Arc<Mutex<OperatorState>>,
}

#[derive(Debug)]
struct OperatorState {
    rng: ChaCha8Rng,
    version: u64,
    /// Bodies by version.
    sent: BTreeMap<u64, Arc<str>>,
}

/// What a new configuration is like.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConfigKind {
    /// Valid, with all queues.
    Complete,
    /// Valid, perhaps without some queues.
    Partial,
    /// To be refused.
    Invalid,
}

/// The end of an attempt to hand in a configuration.
enum PutAnswer {
    Acknowledged,
    Refused,
    Unclear,
}

impl Operator {
    pub(crate) fn new(
        seed: u64,
        client: ControlClient,
        controls: Vec<SocketAddr>,
        recorder: Recorder,
    ) -> Self {
        Self {
            client,
            controls: controls.into(),
            recorder,
            state: Arc::new(Mutex::new(OperatorState {
                rng: ChaCha8Rng::seed_from_u64(seed),
                version: 0,
                sent: BTreeMap::new(),
            })),
        }
    }

    /// Hands in a configuration with all queues until it is acknowledged, or until the shutdown;
    /// returns whether it is.
    pub(crate) async fn complete(&self, shutdown: &Shutdown) -> bool {
        self.hand_in(ConfigKind::Complete, shutdown).await
    }

    /// Reads the newest configuration at one of the control programs; returns whether it comes.
    pub(crate) async fn read(&self) -> bool {
        let address = self.pick();
        let sent_at = self.recorder.now_ms();
        let sent = self.client.send(Method::GET, address, CONFIG_READ_PATH, "");
        let Some((StatusCode::OK, body)) = sent.await else {
            return false;
        };
        let version = decode_version(&body).unwrap_or(0);
        let sent = self.state.lock().sent.get(&version).cloned();
        let intact = sent.is_some_and(|sent| content_equals(&sent, &body));
        self.recorder.observe(Observation::ConfigRead {
            version,
            sent_at,
            intact,
        });
        true
    }

    /// Changes the configuration now and then, two changes at a time; sends old ones again.
    pub(crate) async fn run(self, shutdown: Shutdown) {
        tokio::join!(
            self.change_always(shutdown.clone()),
            self.change_always(shutdown.clone()),
            self.read_always(shutdown)
        );
    }

    async fn change_always(&self, shutdown: Shutdown) {
        while !shutdown.is_requested() {
            let (pause, kind, repeat) = {
                let rng = &mut self.state.lock().rng;
                let kind = if rng.random_bool(INVALID_SHARE) {
                    ConfigKind::Invalid
                } else {
                    ConfigKind::Partial
                };
                (
                    rng.random_range(CHANGE_INTERVAL_MS),
                    kind,
                    rng.random_bool(REPEATED_SHARE),
                )
            };
            self.hand_in(kind, &shutdown).await;
            if repeat {
                self.repeat_old().await;
            }
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn read_always(&self, shutdown: Shutdown) {
        while !shutdown.is_requested() {
            self.read().await;
            tokio::time::sleep(READ_INTERVAL).await;
        }
    }

    /// Hands in a new configuration until there is a clear answer.
    async fn hand_in(&self, kind: ConfigKind, shutdown: &Shutdown) -> bool {
        let (version, body, queues) = self.draw(kind);
        self.recorder.observe(Observation::ConfigSent {
            version,
            valid: kind != ConfigKind::Invalid,
            queues,
        });
        loop {
            match self.put(version, &body).await {
                PutAnswer::Acknowledged => return true,
                PutAnswer::Refused => return false,
                PutAnswer::Unclear if shutdown.is_requested() => return false,
                PutAnswer::Unclear => tokio::time::sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// Sends a configuration again that was sent before.
    async fn repeat_old(&self) {
        let old = {
            let OperatorState { rng, sent, .. } = &mut *self.state.lock();
            let index = rng.random_range(0..sent.len().max(1));
            let old = sent.iter().nth(index);
            old.map(|(version, body)| (*version, Arc::clone(body)))
        };
        if let Some((version, body)) = old {
            self.put(version, &body).await;
        }
    }

    async fn put(&self, version: u64, body: &str) -> PutAnswer {
        let address = self.pick();
        let sent = self
            .client
            .send(Method::POST, address, CONFIG_WRITE_PATH, body)
            .await;
        match sent {
            Some((status, _)) if status.is_success() => {
                self.recorder
                    .observe(Observation::ConfigAcknowledged { version });
                PutAnswer::Acknowledged
            }
            Some((StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS, _)) | None => {
                PutAnswer::Unclear
            }
            Some((status, _)) if status.is_client_error() => {
                self.recorder
                    .observe(Observation::ConfigRefused { version });
                PutAnswer::Refused
            }
            Some(_) => PutAnswer::Unclear,
        }
    }

    fn pick(&self) -> SocketAddr {
        let index = self.state.lock().rng.random_range(0..self.controls.len());
        self.controls[index]
    }

    /// Draws the next configuration, and records its body.
    fn draw(&self, kind: ConfigKind) -> (u64, Arc<str>, BTreeSet<Arc<str>>) {
        let mut state = self.state.lock();
        state.version += state.rng.random_range(1..5);
        let version = state.version;
        let mut queues: Vec<_> = QUEUES[..LASTING_QUEUES]
            .iter()
            .map(|name| queue(name))
            .collect();
        for name in &QUEUES[LASTING_QUEUES..] {
            if kind == ConfigKind::Complete || state.rng.random_bool(0.5) {
                queues.push(queue(name));
            }
        }
        for queue in &mut queues {
            queue.timeout_ms = state.rng.random_range(2_000..4_000);
        }
        if kind == ConfigKind::Invalid {
            // Each of these must be refused: an unknown pool, no time for a response, two equal
            // prefixes.
            match state.rng.random_range(0..3) {
                0 => queues[0].pool = "no-such-pool".into(),
                1 => queues[0].timeout_ms = 0,
                _ => queues[0].prefix = Arc::clone(&queues[1].prefix),
            }
        }
        let names = queues.iter().map(|queue| Arc::clone(&queue.name)).collect();
        let config = QueuesConfig {
            version,
            queues,
            pools: POOLS.iter().map(|name| pool(name)).collect(),
            limits: None,
            workspaces: None,
        };
        let body: Arc<str> = encode_config(&config).into();
        state.sent.insert(version, Arc::clone(&body));
        (version, body, names)
    }
}

fn queue(name: &str) -> QueueConfig {
    QueueConfig {
        name: name.into(),
        authority: AUTHORITY.into(),
        prefix: format!("/{name}/").into(),
        pool: pool_of(name).into(),
        timeout_ms: 3_000,
        target_ms: 2_000,
        priority: 0,
        max_attempts: 3,
        stretch: 2.0,
        advice: None,
        public: false,
    }
}

fn pool(name: &str) -> PoolConfig {
    PoolConfig {
        name: name.into(),
        max_connections: 64,
        rejects_overload: false,
        standby: false,
    }
}
