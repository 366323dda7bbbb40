//! HTTP server of a fake upstream, and its announcements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use masticfield_core::ids::Incarnation;
use masticfield_core::kernel::{Shutdown, ShutdownTrigger};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_node::clock::epoch_ms;
use masticfield_node::http::{
    BindError, Client, HttpLimits, Reply, RequestBody, Server, json_reply, read_body, text_reply,
};
use snafu::{ResultExt, Snafu};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::{RequestStats, UpstreamOptions};

const REQUEST_ID: HeaderName = HeaderName::from_static("masticfield-request-id");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Connections that the upstream accepts and announces.
const CONNECTIONS: u16 = 64;

/// Largest request body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which an entry must answer an announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(2);

/// A fake upstream that serves requests until it is stopped.
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

/// The listener of a fake upstream could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("the upstream cannot listen"))]
pub struct StartUpstreamError {
    source: BindError,
}

/// Handles requests, which hold one slot each.
#[derive(Debug, Clone)]
struct RequestHandler {
    id: Arc<str>,
    latency: Duration,
    slots: Arc<Semaphore>,
    stats: RequestStats,
}

impl FakeUpstream {
    /// Starts an upstream that records its requests in `stats`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        options: UpstreamOptions,
        stats: RequestStats,
    ) -> Result<Self, StartUpstreamError> {
        let limits = HttpLimits::new().with_max_connections(usize::from(CONNECTIONS));
        let server = Server::bind("--listen", options.listen, limits).await;
        let server = server.context(StartUpstreamSnafu)?;
        let announcement = announcement(&options, server.address());
        let handler = RequestHandler {
            id: Arc::clone(&options.id),
            latency: options.latency,
            slots: Arc::new(Semaphore::new(usize::from(options.slots))),
            stats: stats.clone(),
        };
        let trigger = ShutdownTrigger::new();
        let server = tokio::spawn(server.serve(trigger.subscribe(), move |req, _peer| {
            let handler = handler.clone();
            async move { handler.handle(req).await }
        }));
        let client = Client::new(ANNOUNCE_TIMEOUT);
        let announcer = tokio::spawn(announce_periodically(
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

    /// Address that requests are accepted on.
    pub const fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// Statistics of the requests, shared with every upstream that was started with them.
    pub const fn stats(&self) -> &RequestStats {
        &self.stats
    }

    /// Announces that the upstream leaves, and keeps serving requests.
    pub async fn leave(&mut self) {
        self.announcer.abort();
        self.announcement.state = UpstreamState::Leaving;
        announce(&self.client, &self.entries, &self.announcement).await;
    }

    /// Leaves, finishes the requests in flight and closes the listener.
    pub async fn stop(mut self) {
        self.leave().await;
        self.trigger.shut_down();
        if let Err(error) = self.server.await {
            log::error!(error:%; "the server task of the upstream failed");
        }
    }
}

impl RequestHandler {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        let request_id = req.headers().get(REQUEST_ID).cloned();
        let key = req
            .headers()
            .get(IDEMPOTENCY_KEY)
            .and_then(|value| value.to_str().ok());
        let Ok(permit) = self.slots.try_acquire() else {
            self.stats.record_over_slots();
            return with_request_id(request_id, no_free_slot());
        };
        self.stats.record_start(key);
        let path = req.uri().path().to_owned();
        let body = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await;
        if !self.latency.is_zero() {
            tokio::time::sleep(self.latency).await;
        }
        self.stats.record_end();
        drop(permit);
        let reply = match body {
            Ok(body) => text_reply(
                StatusCode::OK,
                format!("{} ran {path} with {} bytes\n", self.id, body.len()),
            ),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        with_request_id(request_id, reply)
    }
}

/// Response that states that the request was not run, so that the entry may send it elsewhere.
fn no_free_slot() -> Reply {
    let mut reply = json_reply(StatusCode::SERVICE_UNAVAILABLE, &"every slot is taken");
    let outcome = HeaderName::from_static("masticfield-outcome");
    reply
        .headers_mut()
        .insert(outcome, HeaderValue::from_static("not-run"));
    reply
}

/// Repeats the request id, by which the entry matches the response to its request.
fn with_request_id(request_id: Option<HeaderValue>, mut reply: Reply) -> Reply {
    if let Some(request_id) = request_id {
        reply.headers_mut().insert(REQUEST_ID, request_id);
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

async fn announce_periodically(
    mut shutdown: Shutdown,
    client: Client,
    entries: Vec<SocketAddr>,
    announcement: Announcement,
    announce_interval: Duration,
) {
    let mut interval = tokio::time::interval(announce_interval);
    loop {
        tokio::select! {
            () = shutdown.requested() => return,
            _ = interval.tick() => announce(&client, &entries, &announcement).await,
        }
    }
}

/// Sends an announcement to each entry once; a failure is logged and not retried here.
async fn announce(client: &Client, entries: &[SocketAddr], announcement: &Announcement) {
    for entry in entries {
        let uri = format!("http://{entry}/v1/upstreams");
        match client.send_json(Method::POST, &uri, announcement).await {
            Ok((StatusCode::OK, _)) => {}
            Ok((status, _)) => log::warn!(entry:%, status:%; "an announcement was refused"),
            Err(error) => log::warn!(entry:%, error:%; "an announcement could not be sent"),
        }
    }
}
