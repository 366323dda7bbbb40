//! A running stand-in for an upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use hyper::body::Incoming;
use masticfield_core::ids::Incarnation;
use masticfield_core::kernel::{Shutdown, ShutdownTrigger};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_node::clock::epoch_ms;
use masticfield_node::http::{
    BindError, Client, HttpLimits, Reply, Server, json_reply, read_body, text_reply,
};
use snafu::{ResultExt, Snafu};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::{RequestStats, UpstreamOptions};

const REQUEST_ID: HeaderName = HeaderName::from_static("masticfield-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Connections that it accepts.
const CONNECTIONS: u16 = 64;

/// Largest body that it reads, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time within which a body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which an entry must take an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A stand-in that serves until it is stopped.
#[derive(Debug)]
pub struct FakeUpstream {
    announcement: Announcement,
    entries: Vec<SocketAddr>,
    client: Client,
    stats: RequestStats,
    trigger: ShutdownTrigger,
    server: JoinHandle<()>,
    announcer: JoinHandle<()>,
}

/// A stand-in for an upstream could not start.
#[derive(Debug, Snafu)]
#[snafu(display("the upstream cannot listen"))]
pub struct StartUpstreamError {
    source: BindError,
}

#[derive(Debug, Clone)]
struct Executor {
    id: Arc<str>,
    latency: Duration,
    slots: Arc<Semaphore>,
    stats: RequestStats,
}

impl FakeUpstream {
    /// Starts an upstream that counts its requests in `stats`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        options: UpstreamOptions,
        stats: RequestStats,
    ) -> Result<Self, StartUpstreamError> {
        let limits = HttpLimits::new().with_max_connections(usize::from(CONNECTIONS));
        let bound = Server::bind("--listen", options.listen, limits).await;
        let server = bound.context(StartUpstreamSnafu)?;
        let announcement = announcement(&options, server.address());
        let executor = Executor {
            id: Arc::clone(&options.id),
            latency: options.latency,
            slots: Arc::new(Semaphore::new(usize::from(options.slots))),
            stats: stats.clone(),
        };
        let trigger = ShutdownTrigger::new();
        let server = tokio::spawn(server.serve(trigger.subscribe(), move |req, _peer| {
            let executor = executor.clone();
            async move { executor.answer(req).await }
        }));
        let client = Client::new(ANNOUNCE_TIMEOUT);
        let announcer = tokio::spawn(announce_until(
            trigger.subscribe(),
            client.clone(),
            options.entries.clone(),
            announcement.clone(),
            options.announce_interval,
        ));
        let entries = options.entries;
        Ok(Self {
            announcement,
            entries,
            client,
            stats,
            trigger,
            server,
            announcer,
        })
    }

    /// Where it takes requests.
    pub const fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// What it saw.
    pub const fn stats(&self) -> &RequestStats {
        &self.stats
    }

    /// Says that it leaves, and goes on with what it has.
    pub async fn leave(&mut self) {
        self.announcer.abort();
        self.announcement.state = UpstreamState::Leaving;
        announce(&self.client, &self.entries, &self.announcement).await;
    }

    /// Leaves, finishes what it has, and ends.
    pub async fn stop(mut self) {
        self.leave().await;
        self.trigger.shut_down();
        if let Err(error) = self.server.await {
            log::error!(error:%; "the upstream's server failed");
        }
    }
}

impl Executor {
    async fn answer(&self, req: Request<Incoming>) -> Reply {
        let id = req.headers().get(REQUEST_ID).cloned();
        let key = req
            .headers()
            .get(IDEMPOTENCY_KEY)
            .and_then(|value| value.to_str().ok());
        let Ok(permit) = self.slots.try_acquire() else {
            self.stats.exceed();
            return echo(id, refuse());
        };
        self.stats.begin(key);
        let path = req.uri().path().to_owned();
        let body = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        if !self.latency.is_zero() {
            tokio::time::sleep(self.latency).await;
        }
        self.stats.end();
        drop(permit);
        let reply = match body {
            Ok(body) => text_reply(
                StatusCode::OK,
                format!("{} ran {path} with {} bytes\n", self.id, body.len()),
            ),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        echo(id, reply)
    }
}

/// The proof that a request was not started.
fn refuse() -> Reply {
    let mut reply = json_reply(StatusCode::SERVICE_UNAVAILABLE, &"every slot is taken");
    let outcome = HeaderName::from_static("masticfield-outcome");
    reply
        .headers_mut()
        .insert(outcome, HeaderValue::from_static("not-run"));
    reply
}

fn echo(id: Option<HeaderValue>, mut reply: Reply) -> Reply {
    if let Some(id) = id {
        reply.headers_mut().insert(REQUEST_ID, id);
    }
    reply
}

fn announcement(options: &UpstreamOptions, address: SocketAddr) -> Announcement {
    Announcement {
        id: Arc::clone(&options.id),
        incarnation: Incarnation::new(epoch_ms()),
        service: Arc::clone(&options.service),
        address,
        host: Arc::clone(&options.host),
        zone: Arc::clone(&options.zone),
        slots: options.slots,
        connections: CONNECTIONS.max(options.slots),
        state: UpstreamState::Serving,
    }
}

async fn announce_until(
    mut shutdown: Shutdown,
    client: Client,
    entries: Vec<SocketAddr>,
    announcement: Announcement,
    announce_interval: Duration,
) {
    let mut ticks = tokio::time::interval(announce_interval);
    loop {
        tokio::select! {
            () = shutdown.requested() => return,
            _ = ticks.tick() => announce(&client, &entries, &announcement).await,
        }
    }
}

async fn announce(client: &Client, entries: &[SocketAddr], announcement: &Announcement) {
    for entry in entries {
        let uri = format!("http://{entry}/v1/upstreams");
        match client.send_json(Method::POST, &uri, announcement).await {
            Ok((StatusCode::OK, _)) => {}
            Ok((status, _)) => log::warn!(entry:%, status:%; "an announcement was refused"),
            Err(error) => log::warn!(entry:%, error:%; "an entry did not take an announcement"),
        }
    }
}
