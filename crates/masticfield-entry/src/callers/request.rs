//! A caller's request, read and checked.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use hyper::body::Incoming;
use masticfield_core::note::ServiceSpec;
use masticfield_core::outcome::NotRunReason;
use masticfield_node::http::read_body;

use super::headers::{CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, ZONE};
use crate::control::Served;

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// A whole request of a caller.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    /// The service that is asked.
    pub service: Arc<str>,
    /// Method of the request.
    pub method: Method,
    /// Path and query without the service.
    pub path: String,
    /// Headers of the request.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the answer must be there.
    pub deadline: Instant,
    /// Who asks: the name that the caller gives, or its address.
    pub caller: Arc<str>,
    /// Availability zone of the caller, if it says so.
    pub zone: Option<Arc<str>>,
    /// Largest body of an answer, in bytes.
    pub max_answer_bytes: usize,
}

impl CallerRequest {
    /// Reads a request for a service of the configuration.
    pub(super) async fn read(
        served: &Served,
        req: Request<Incoming>,
        peer: IpAddr,
        body_timeout: Duration,
    ) -> Result<Self, NotRunReason> {
        let (service, path) = split_path(&req).ok_or(NotRunReason::UnknownService)?;
        let service = served
            .config
            .services()
            .get(service)
            .ok_or(NotRunReason::UnknownService)?;
        let path = path.to_owned();
        let max_bytes = usize::try_from(service.max_body_bytes).unwrap_or(usize::MAX);
        let arrived = Instant::now();
        let (head, body) = req.into_parts();
        let deadline = arrived + deadline_of(&head.headers, service)?;
        let body = read_body(body, max_bytes, body_timeout).await;
        let body = body.map_err(|error| {
            log::debug!(error:%; "a request body was refused");
            NotRunReason::BadRequest
        })?;
        Ok(Self {
            service: Arc::clone(&service.name),
            method: head.method,
            path,
            caller: text(&head.headers, &CALLER).unwrap_or_else(|| peer.to_string().into()),
            zone: text(&head.headers, &ZONE),
            headers: head.headers,
            body,
            deadline,
            max_answer_bytes: max_bytes,
        })
    }

    /// The time that is left until the deadline.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the request may run twice without harm.
    pub(super) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// The caller's key.
    pub(super) fn key(&self) -> Result<Arc<str>, NotRunReason> {
        let key = text(&self.headers, &IDEMPOTENCY_KEY).ok_or(NotRunReason::KeyMissing)?;
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(NotRunReason::KeyMissing);
        }
        Ok(key)
    }
}

/// Parts a path into the service and the rest.
fn split_path(req: &Request<Incoming>) -> Option<(&str, &str)> {
    let path = req.uri().path_and_query()?.as_str().strip_prefix('/')?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    Some((service, if rest.is_empty() { "/" } else { rest }))
}

/// The deadline that the caller names, at most the service's own.
fn deadline_of(headers: &HeaderMap, service: &ServiceSpec) -> Result<Duration, NotRunReason> {
    let Some(value) = headers.get(&DEADLINE_MS) else {
        return Ok(service.deadline);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.ok_or(NotRunReason::BadRequest)?;
    Ok(Duration::from_millis(millis).min(service.deadline))
}

fn text(headers: &HeaderMap, name: &http::HeaderName) -> Option<Arc<str>> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(Into::into)
}
