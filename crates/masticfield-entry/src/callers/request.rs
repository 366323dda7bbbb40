//! A caller's request, read and validated.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Method, Request};
use masticfield_core::note::ServiceSpec;
use masticfield_core::outcome::NotRunReason;
use masticfield_node::http::{HeldBody, RequestBody};

use super::headers::{CALLER, DEADLINE_MS, IDEMPOTENCY_KEY, ZONE};
use crate::control::LeasedConfig;

/// Longest accepted idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 128;

/// A caller's request for a service of the configuration, with its whole body.
#[derive(Debug, Clone)]
pub(super) struct CallerRequest {
    pub service: Arc<str>,
    pub method: Method,
    /// Path and query for the upstream, without the service.
    pub path: String,
    pub headers: HeaderMap,
    pub body: HeldBody,
    /// When the caller needs the response.
    pub deadline: Instant,
    /// Name of the caller, or its IP address if it gives none.
    pub caller: Arc<str>,
    /// Availability zone of the caller, if it gives one.
    pub zone: Option<Arc<str>>,
    /// Largest accepted body of the response, in bytes.
    pub max_response_bytes: usize,
}

impl CallerRequest {
    /// Reads a request and checks it against the limits of its service.
    pub(super) async fn read(
        leased: &LeasedConfig,
        req: Request<RequestBody>,
        peer: IpAddr,
        body_timeout: Duration,
    ) -> Result<Self, NotRunReason> {
        let (service, path) = split_path(&req).ok_or(NotRunReason::UnknownService)?;
        let service = leased
            .config
            .services()
            .get(service)
            .ok_or(NotRunReason::UnknownService)?;
        let path = path.to_owned();
        let max_bytes = usize::try_from(service.max_body_bytes).unwrap_or(usize::MAX);
        let arrived_at = Instant::now();
        let (head, body) = req.into_parts();
        let deadline = arrived_at + time_limit(&head.headers, service)?;
        let body = body.read(max_bytes, body_timeout).await;
        let body = body.map_err(|error| {
            log::debug!(error:%; "a request body was refused");
            if error.is_overload() {
                NotRunReason::Overloaded
            } else {
                NotRunReason::BadRequest
            }
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
            max_response_bytes: max_bytes,
        })
    }

    /// Returns the time until the deadline; zero if it has passed.
    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Whether the method allows the request to run more than once.
    pub(super) fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }

    /// Returns the text of the idempotency key; its form is not checked yet.
    pub(super) fn idempotency_key(&self) -> Result<Arc<str>, NotRunReason> {
        let key = text(&self.headers, &IDEMPOTENCY_KEY).ok_or(NotRunReason::KeyMissing)?;
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            return Err(NotRunReason::KeyMissing);
        }
        Ok(key)
    }
}

/// Splits a path into the service and the rest, which is `/` if the service is all of it.
fn split_path(req: &Request<RequestBody>) -> Option<(&str, &str)> {
    let path = req.uri().path_and_query()?.as_str().strip_prefix('/')?;
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    Some((service, if rest.is_empty() { "/" } else { rest }))
}

/// Returns the time that the request may take: what the caller allows, at most the service's limit.
fn time_limit(headers: &HeaderMap, service: &ServiceSpec) -> Result<Duration, NotRunReason> {
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
