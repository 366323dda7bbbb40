//! Metrics, health and readiness over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use masticfield_core::kernel::Shutdown;
use prometheus::{Registry, TextEncoder};

use crate::http::{BindError, HttpLimits, Reply, Server, text_reply};

/// Whether a program can do its work now.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<State>);

#[derive(Debug, Default)]
struct State {
    ready: AtomicBool,
    stopping: AtomicBool,
}

impl Readiness {
    /// Creates a state that is not ready.
    pub fn new() -> Self {
        Self::default()
    }

    /// Changes the state.
    pub fn set(&self, ready: bool) {
        self.0.ready.store(ready, Ordering::Release);
    }

    /// Ends readiness for good, because the program stops.
    pub fn stop(&self) {
        self.0.stopping.store(true, Ordering::Release);
    }

    /// Whether the program is ready.
    pub fn is_ready(&self) -> bool {
        self.0.ready.load(Ordering::Acquire) && !self.0.stopping.load(Ordering::Acquire)
    }
}

/// Serves `/metrics`, `/healthz` and `/readyz` until the shutdown begins.
///
/// Returns the address that is listened on.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn spawn(
    address: SocketAddr,
    limits: HttpLimits,
    registry: Registry,
    readiness: Readiness,
    shutdown: Shutdown,
) -> Result<SocketAddr, BindError> {
    let server = Server::bind("--admin-listen", address, limits).await?;
    let bound = server.address();
    tokio::spawn(server.serve(shutdown, move |req, _peer| {
        let reply = answer(&req, &registry, &readiness);
        async move { reply }
    }));
    Ok(bound)
}

fn answer(req: &Request<Incoming>, registry: &Registry, readiness: &Readiness) -> Reply {
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
