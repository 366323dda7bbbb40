//! HTTP server of the fake platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use masticfield_core::kernel::ShutdownTrigger;
use masticfield_core::note::HostSpec;
use masticfield_core::platform::{HostCommand, TaskCommand};
use masticfield_node::http::{
    BindError, HttpLimits, Reply, RequestBody, Server, json_reply, read_body, text_reply,
};
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

use super::{FakePlatform, OrderOutcome, TaskId, Timings};

/// Largest request body that is accepted, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// Time within which a request body must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// A fake platform that is served over HTTP until this value is dropped.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    platform: Arc<Mutex<FakePlatform>>,
    _trigger: ShutdownTrigger,
}

/// The listener of the fake platform could not be bound.
#[derive(Debug, Snafu)]
#[snafu(display("the platform cannot listen"))]
pub struct StartPlatformError {
    source: BindError,
}

/// Handles requests; the clock of the platform is the time since `started`.
#[derive(Debug, Clone)]
struct RequestHandler {
    platform: Arc<Mutex<FakePlatform>>,
    started: Instant,
}

impl PlatformServer {
    /// Starts a platform with a healthy worker for each of `hosts`.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn start(
        listen: SocketAddr,
        timings: Timings,
        hosts: impl IntoIterator<Item = HostSpec>,
    ) -> Result<Self, StartPlatformError> {
        let server = Server::bind("--listen", listen, HttpLimits::new()).await;
        let server = server.context(StartPlatformSnafu)?;
        let address = server.address();
        let platform = Arc::new(Mutex::new(FakePlatform::new(timings, hosts)));
        let handler = RequestHandler {
            platform: Arc::clone(&platform),
            started: Instant::now(),
        };
        let trigger = ShutdownTrigger::new();
        tokio::spawn(server.serve(trigger.subscribe(), move |req, _peer| {
            let handler = handler.clone();
            async move { handler.handle(req).await }
        }));
        Ok(Self {
            address,
            platform,
            _trigger: trigger,
        })
    }

    /// Address that the control process connects to.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Runs `change` on the platform, for instance to let a worker fail.
    pub fn with<T>(&self, change: impl FnOnce(&mut FakePlatform) -> T) -> T {
        change(&mut self.platform.lock())
    }
}

impl RequestHandler {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        let method = req.method().clone();
        let path = req.uri().path().to_owned();
        let since = req
            .uri()
            .query()
            .and_then(|query| query.strip_prefix("since="));
        let since = since.and_then(|since| since.parse().ok()).unwrap_or(0);
        let Ok(body) = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await else {
            return text_reply(StatusCode::BAD_REQUEST, "the body cannot be read\n");
        };
        let mut platform = self.platform.lock();
        platform.advance(self.started.elapsed());
        let segments: Vec<_> = path.split('/').skip(1).collect();
        let outcome = match (&method, segments.as_slice()) {
            (&Method::GET, ["v1", "workers"]) => {
                return json_reply(StatusCode::OK, &platform.reports(since));
            }
            (&Method::POST, ["v1", "hosts", host, verb]) => parse_host_command(verb)
                .zip(parse_json(&body))
                .map(|(command, order)| platform.order_host(host, command, order)),
            (&Method::PUT, ["v1", "tasks", job, index, attempt]) => {
                parse_task_id(job, index, attempt)
                    .zip(parse_json(&body))
                    .map(|(id, order)| platform.start_task(id, order))
            }
            (&Method::POST, ["v1", "tasks", job, index, attempt, verb]) => {
                parse_task_id(job, index, attempt)
                    .zip(parse_task_command(verb))
                    .map(|(id, command)| platform.order_task(&id, command))
            }
            (&Method::POST, ["v1", "leases"]) => parse_json(&body).map(|renewal| {
                platform.renew(&renewal);
                OrderOutcome::Accepted
            }),
            _ => None,
        };
        outcome_reply(outcome)
    }
}

/// Response to an order; `None` is an order that cannot be parsed.
fn outcome_reply(outcome: Option<OrderOutcome>) -> Reply {
    match outcome {
        Some(OrderOutcome::Accepted) => text_reply(StatusCode::ACCEPTED, ""),
        Some(OrderOutcome::Fenced) => {
            text_reply(StatusCode::CONFLICT, "a higher generation was seen\n")
        }
        Some(OrderOutcome::NotFound) => {
            text_reply(StatusCode::NOT_FOUND, "there is no such thing\n")
        }
        Some(OrderOutcome::Unreachable) => text_reply(
            StatusCode::SERVICE_UNAVAILABLE,
            "the host cannot be reached\n",
        ),
        None => text_reply(StatusCode::BAD_REQUEST, "the order cannot be read\n"),
    }
}

fn parse_json<T: DeserializeOwned>(body: &Bytes) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn parse_task_id(job: &str, index: &str, attempt: &str) -> Option<TaskId> {
    Some((job.into(), index.parse().ok()?, attempt.parse().ok()?))
}

fn parse_host_command(verb: &str) -> Option<HostCommand> {
    match verb {
        "drain" => Some(HostCommand::Drain),
        "resume" => Some(HostCommand::Resume),
        "reboot" => Some(HostCommand::Reboot),
        _ => None,
    }
}

fn parse_task_command(verb: &str) -> Option<TaskCommand> {
    match verb {
        "throttle" => Some(TaskCommand::Throttle),
        "checkpoint" => Some(TaskCommand::Checkpoint),
        "stop" => Some(TaskCommand::Stop),
        _ => None,
    }
}
