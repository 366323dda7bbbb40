//! Stand-ins for executors.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Method, Request, StatusCode};
use masticfield_core::kernel::Shutdown;
use masticfield_jobs::job::{Resources, RunId};
use masticfield_jobs::leader::{Announcement, Rejection};
use masticfield_jobs::state::{EndKind, ExecutorIncarnation};
use masticfield_node::http::{HttpLimits, Reply, RequestBody, Server, json_reply, read_body};
use masticfield_platform_stand_ins::{
    ExecutorOrder, decode_next_address, encode_announcement, encode_clock, encode_hold,
    encode_leave, encode_rejection, names_executor,
};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::ResultExt;

use super::ControlClient;
use super::executor_life::{ActiveRun, ExecutorLife};
use super::operator::POOLS;
use crate::SoakError;
use crate::checker::{ExecutorNumber, Observation};
use crate::error::BindSnafu;
use crate::programs::{ANNOUNCE_MS, Installation, STOP_MS};
use crate::recorder::Recorder;

/// Maximum size of the body of an order, in bytes, and time limit for it to arrive.
const BODY_LIMITS: (usize, Duration) = (64 * 1024, Duration::from_secs(5));

/// Interval at which ends are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Share of the runs that fail.
const FAILING_SHARE: f64 = 0.02;

/// Time for which a leaving executor still serves after its announcement is acknowledged.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

/// Time after which a leaving executor ends without an acknowledgement.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(8);

/// Options of the executors.
#[derive(Debug, Clone)]
pub(crate) struct ExecutorOptions {
    pub(crate) seed: u64,
    /// Addresses of the control programs.
    pub(crate) controls: Vec<SocketAddr>,
    pub(crate) count: usize,
}

/// The executors, each of which lives several times.
#[derive(Debug, Clone)]
pub(crate) struct Executors {
    world: Arc<Mutex<World>>,
    options: Arc<ExecutorOptions>,
    client: ControlClient,
    recorder: Recorder,
    /// Address at which each executor itself listens.
    listening: Arc<Vec<SocketAddr>>,
}

/// All executors, behind one lock: a start is compared to what runs on the others.
#[derive(Debug)]
struct World {
    rng: ChaCha8Rng,
    lives: Vec<Option<ExecutorLife>>,
    /// Number of the next life.
    next: u32,
}

impl Executors {
    /// Binds the listeners; no executor lives yet.
    pub(crate) async fn bind(
        options: ExecutorOptions,
        client: ControlClient,
        recorder: Recorder,
        shutdown: &Shutdown,
    ) -> Result<Self, SoakError> {
        let mut servers = Vec::new();
        for _ in 0..options.count {
            let address = (Installation::stand_in_ip(), 0).into();
            let server = Server::bind("executor", address, HttpLimits::new()).await;
            servers.push(server.context(BindSnafu)?);
        }
        let lives = (0..options.count).map(|_| None).collect();
        let world = World {
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            lives,
            next: 0,
        };
        let executors = Self {
            world: Arc::new(Mutex::new(world)),
            options: Arc::new(options),
            client,
            recorder,
            listening: Arc::new(servers.iter().map(Server::address).collect()),
        };
        for (index, server) in servers.into_iter().enumerate() {
            let serving = executors.clone();
            let respond = move |req, _peer| {
                let serving = serving.clone();
                async move { serving.respond(index, req).await }
            };
            tokio::spawn(server.serve(shutdown.clone(), respond));
        }
        tokio::spawn(executors.clone().advance_always(shutdown.clone()));
        Ok(executors)
    }

    /// The address at which each executor itself listens.
    pub(crate) fn listening(&self) -> &[SocketAddr] {
        &self.listening
    }

    /// Begins a life of an executor that is reached at `address`.
    pub(crate) fn be_born(&self, index: usize, address: SocketAddr, same_id: bool) {
        let mut world = self.world.lock();
        let number = ExecutorNumber(world.next);
        world.next += 1;
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |born| u64::try_from(born.as_millis()).unwrap_or(0));
        let id = if same_id {
            format!("e-{index}")
        } else {
            format!("e-{index}-{}", number.0)
        };
        let pool: Arc<str> = POOLS[index % POOLS.len()].into();
        let capacity = Resources {
            cpu_milli: 2_000 * world.rng.random_range(1..=3),
            memory_mb: 4_096,
            gpus: 0,
        };
        let rack = format!("rack-{}", index % 3);
        let incarnation = ExecutorIncarnation {
            id: id.into(),
            started_ms: born,
            pool: Arc::clone(&pool),
            address: address.to_string().into(),
            zone: format!("zone-{}", index % 3).into(),
            rack: Some(rack.as_str().into()),
            labels: vec!["kind".into(), rack.into()],
            capacity,
        };
        let rate = world.rng.random_range(0.98..=1.0);
        let offset = world.rng.random_range(0..600_000);
        let life = ExecutorLife::new(number, incarnation, rate, offset);
        self.recorder.observe(Observation::ExecutorUp {
            executor: number,
            pool,
            capacity: life.capacity(),
        });
        world.lives[index] = Some(life);
        drop(world);
        tokio::spawn(self.clone().announce_always(index, number));
    }

    /// Ends a life of an executor, with all that runs on it.
    pub(crate) fn crash(&self, index: usize) {
        let mut world = self.world.lock();
        self.advance(&mut world);
        if let Some(life) = world.lives[index].take() {
            let executor = life.number;
            self.recorder
                .observe(Observation::ExecutorGone { executor });
        }
    }

    /// The highest number of the runs in progress, and the executor that has this run.
    pub(crate) fn busy_with_latest_run(&self) -> Option<(u32, usize)> {
        let world = self.world.lock();
        let runs = world.lives.iter().enumerate().filter_map(|(index, life)| {
            let latest = life.as_ref()?.latest_run()?;
            Some((latest, index))
        });
        runs.max()
    }

    /// Whether an executor lives.
    pub(crate) fn is_up(&self, index: usize) -> bool {
        self.world.lock().lives[index].is_some()
    }

    /// Lets an executor announce that it leaves, and end; returns once it has.
    pub(crate) async fn drain(&self, index: usize) {
        let number = self.with_life(index, |life| {
            life.leaving = true;
            life.number
        });
        let Some(number) = number else { return };
        let acknowledged = tokio::time::timeout(MAX_DRAIN_TIME, async {
            while !self.announce(index, number, None).await.0 {
                tokio::time::sleep(POLL_INTERVAL * 10).await;
            }
        });
        if acknowledged.await.is_ok() {
            tokio::time::sleep(DRAIN_TIME).await;
        }
        let leave = self.with_life(index, |life| {
            let incarnation = &life.incarnation;
            (life.number == number).then(|| encode_leave(&incarnation.id, incarnation.started_ms))
        });
        let Some(Some((path, body))) = leave else {
            return;
        };
        for control in &self.options.controls {
            let sent = self.client.send(Method::POST, *control, &path, &body).await;
            if sent.is_some_and(|(status, _)| status.is_success()) {
                break;
            }
        }
        self.crash(index);
    }

    fn with_life<T>(&self, index: usize, read: impl FnOnce(&mut ExecutorLife) -> T) -> Option<T> {
        self.world.lock().lives[index].as_mut().map(read)
    }

    /// Ends runs as their time comes, so that histories are complete without calls.
    async fn advance_always(self, mut shutdown: Shutdown) {
        while tokio::time::timeout(POLL_INTERVAL, shutdown.requested())
            .await
            .is_err()
        {
            self.advance(&mut self.world.lock());
        }
    }

    fn advance(&self, world: &mut World) {
        let now = Instant::now();
        let mut observed = Vec::new();
        for life in world.lives.iter_mut().flatten() {
            life.advance(now, &mut observed);
        }
        self.record(observed);
    }

    fn record(&self, observed: Vec<Observation>) {
        for observation in observed {
            self.recorder.observe(observation);
        }
    }

    /// Announces an executor as long as it lives.
    async fn announce_always(self, index: usize, number: ExecutorNumber) {
        let mut next = None;
        loop {
            let lives = self.with_life(index, |life| life.number == number);
            if lives != Some(true) {
                return;
            }
            let (_, named) = self.announce(index, number, next).await;
            next = named;
            tokio::time::sleep(Duration::from_millis(ANNOUNCE_MS)).await;
        }
    }

    /// Announces an executor once, first at the address that the last response named; returns
    /// whether that is acknowledged, and the address for the next one.
    async fn announce(
        &self,
        index: usize,
        number: ExecutorNumber,
        named: Option<SocketAddr>,
    ) -> (bool, Option<SocketAddr>) {
        let first = self
            .world
            .lock()
            .rng
            .random_range(0..self.options.controls.len());
        let count = self.options.controls.len();
        let controls = (0..count).map(|offset| self.options.controls[(first + offset) % count]);
        for address in named.into_iter().chain(controls) {
            let announcement: Option<Option<Announcement>> = self.with_life(index, |life| {
                (life.number == number).then(|| life.announce(Instant::now()))
            });
            let Some(Some(announcement)) = announcement else {
                return (false, None);
            };
            let remaining = u64::try_from(DRAIN_TIME.as_millis()).unwrap_or(0);
            let (path, body) = encode_announcement(&announcement, remaining);
            let sent = self.client.send(Method::POST, address, &path, &body).await;
            if let Some((status, body)) = sent
                && status.is_success()
            {
                return (true, decode_next_address(&body));
            }
        }
        (false, None)
    }

    async fn respond(&self, index: usize, req: Request<RequestBody>) -> Reply {
        let (head, body) = req.into_parts();
        let Ok(body) = read_body(body, BODY_LIMITS.0, BODY_LIMITS.1).await else {
            return json_reply(StatusCode::BAD_REQUEST, &encode_clock(0));
        };
        let order = match ExecutorOrder::decode(head.uri.path(), &body) {
            Ok(order) => order,
            Err(error) => {
                self.recorder
                    .note(format_args!("an executor got a malformed order: {error}"));
                return json_reply(StatusCode::BAD_REQUEST, &encode_clock(0));
            }
        };
        let meant = self.with_life(index, |life| {
            names_executor(&head.headers, &life.incarnation.id).then_some(life.number)
        });
        match meant {
            Some(Some(number)) => self.obey(index, number, order).await,
            Some(None) => json_reply(StatusCode::MISDIRECTED_REQUEST, &encode_clock(0)),
            // An executor that does not live does not respond; its connections are reset.
            None => std::future::pending().await,
        }
    }

    async fn obey(&self, index: usize, number: ExecutorNumber, order: ExecutorOrder) -> Reply {
        let wait_ms = match &order {
            ExecutorOrder::Hold { wait_ms, .. } => Some(*wait_ms),
            _ => None,
        };
        let received = Instant::now();
        if let Err(rejection) = self.carry_out(index, number, order) {
            let clock_ms = self.with_life(index, |life| life.clock_ms(Instant::now()));
            let body = encode_rejection(clock_ms.unwrap_or(0), rejection);
            return json_reply(StatusCode::CONFLICT, &body);
        }
        let Some(wait_ms) = wait_ms else {
            let clock_ms = self.with_life(index, |life| life.clock_ms(Instant::now()));
            return json_reply(StatusCode::OK, &encode_clock(clock_ms.unwrap_or(0)));
        };
        loop {
            let waited = received.elapsed() >= Duration::from_millis(wait_ms);
            let report = self.with_life(index, |life| {
                let ready = life.number != number || life.has_ends() || waited;
                ready.then(|| (life.number == number).then(|| life.report(Instant::now())))
            });
            match report {
                Some(Some(Some(report))) => {
                    return json_reply(StatusCode::OK, &encode_hold(&report));
                }
                Some(None) => tokio::time::sleep(POLL_INTERVAL).await,
                Some(Some(None)) | None => std::future::pending().await,
            }
        }
    }

    fn carry_out(
        &self,
        index: usize,
        number: ExecutorNumber,
        order: ExecutorOrder,
    ) -> Result<(), Rejection> {
        let mut world = self.world.lock();
        // Ends on all executors come before a start that follows them.
        self.advance(&mut world);
        let now = Instant::now();
        let World { rng, lives, .. } = &mut *world;
        let life = lives[index].as_mut().filter(|life| life.number == number);
        let Some(life) = life else {
            return Err(Rejection::Unavailable);
        };
        let mut observed = Vec::new();
        let result = match order {
            ExecutorOrder::Start {
                run,
                payload,
                deadline_ms,
                fence,
                ..
            } => {
                let active = self.draw_run(rng, run, now);
                let (run, lease) = ((run, payload), (fence, deadline_ms));
                life.start(now, run, lease, active, &mut observed)
            }
            ExecutorOrder::Stop { run, fence } => {
                let takes = Duration::from_millis(rng.random_range(0..=STOP_MS));
                life.stop(now, run, fence, takes)
            }
            ExecutorOrder::Hold {
                deadline_ms,
                fence,
                acknowledged,
                ..
            } => life.hold(now, (fence, deadline_ms), acknowledged, &mut observed),
        };
        self.record(observed);
        result
    }

    /// Draws how long a run takes, about as estimated, and how it ends.
    fn draw_run(&self, rng: &mut ChaCha8Rng, run: RunId, now: Instant) -> ActiveRun {
        let step =
            |checker: &crate::checker::Checker| checker.step(run.task).map(|step| step.estimate_ms);
        let estimate = self.recorder.read(step).unwrap_or_default();
        let takes = Duration::from_millis(estimate).mul_f64(rng.random_range(0.5..1.5));
        let kind = if rng.random_bool(FAILING_SHARE) {
            EndKind::Failed
        } else {
            EndKind::Done
        };
        ActiveRun {
            started: now,
            ends_at: now + takes,
            kind,
        }
    }
}
