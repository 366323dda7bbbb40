//! HTTP endpoints for metrics, health and readiness.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Method, Request, StatusCode};
use masticfield_core::kernel::Shutdown;
use prometheus::{Registry, TextEncoder};

use crate::http::{BindError, HttpLimits, Listeners, Reply, RequestBody, text_reply};

/// Percentage of the connections of the process that the listener may have.
const CONNECTION_PERCENT: usize = 5;

/// Shared readiness state of a program.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<ReadinessState>);

#[derive(Debug, Default)]
struct ReadinessState {
    ready: AtomicBool,
    stopping: AtomicBool,
}

impl Readiness {
    /// Creates the state of a program that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the program can do its work.
    pub fn set(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Release);
    }

    /// Marks the program as stopping, after which it is never ready again.
    pub fn stop(&self) {
        self.0.stopping.store(true, Ordering::Release);
    }

    /// Returns whether the program is ready and not stopping.
    pub fn is_ready(&self) -> bool {
        self.0.ready.load(Ordering::Acquire) && !self.0.stopping.load(Ordering::Acquire)
    }
}

/// Serves `/metrics`, `/healthz` and `/readyz` until the shutdown is requested.
///
/// Returns the address that the listener is bound to.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(
    address: SocketAddr,
    limits: HttpLimits,
    listeners: &Listeners,
    registry: Registry,
    readiness: Readiness,
    shutdown: Shutdown,
) -> Result<SocketAddr, BindError> {
    let server = listeners
        .bind(
            "--admin-listen",
            address,
            limits.with_connection_percent(CONNECTION_PERCENT),
        )
        .await?;
    let bound = server.address();
    tokio::spawn(server.serve(shutdown, move |req, _peer| {
        let reply = respond(&req, &registry, &readiness);
        async move { reply }
    }));
    Ok(bound)
}

fn respond(req: &Request<RequestBody>, registry: &Registry, readiness: &Readiness) -> Reply {
    if req.method() != Method::GET {
        return text_reply(StatusCode::METHOD_NOT_ALLOWED, "only GET is served here\n");
    }
    match req.uri().path() {
        "/metrics" => metrics(registry),
        "/healthz" => text_reply(StatusCode::OK, "alive\n"),
        "/readyz" if readiness.is_ready() => text_reply(StatusCode::OK, "ready\n"),
        "/readyz" => text_reply(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        _ => text_reply(
            StatusCode::NOT_FOUND,
            "see /metrics, /healthz and /readyz\n",
        ),
    }
}

fn metrics(registry: &Registry) -> Reply {
    match TextEncoder::new().encode_to_string(&registry.gather()) {
        Ok(text) => text_reply(StatusCode::OK, text),
        Err(error) => {
            log::error!(error:%; "metrics cannot be written");
            text_reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                "metrics cannot be written\n",
            )
        }
    }
}
