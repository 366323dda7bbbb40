//! The HTTP client that sends requests to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::TRANSFER_ENCODING;
use http::response::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, Uri};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::connect::{Connected, HttpConnector, capture_connection};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use masticfield_core::ids::RequestId;
use masticfield_core::outcome::{Outcome, UnknownReason};
use masticfield_node::http::{BodyError, Reply, read_body};
use masticfield_node::trace::RequestSpan;

use super::headers::{OUTCOME, REQUEST_ID, strip_hop_by_hop};
use super::request::CallerRequest;

/// Time limit for connecting to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an idle connection to an upstream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of idle connections to an upstream from all entries together.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Largest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Sends requests to upstreams over pooled connections.
#[derive(Debug, Clone)]
pub(super) struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Result of sending a request to an upstream.
#[derive(Debug)]
pub(super) enum ExchangeResult {
    /// The complete response to this request.
    Answered(Reply),
    /// The executor proved that it did not start the request.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// The deadline passed before the request was sent.
    TooLate,
    /// The request may have run or not.
    Unknown(UnknownReason),
}

impl UpstreamClient {
    /// Creates a client for one of `entry_count` entries, which share the idle connections.
    pub(super) fn new(entry_count: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host((MAX_IDLE_CONNECTIONS / entry_count.max(1)).max(1))
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Self { client }
    }

    /// Sends `req` to the executor at `to` and waits for its complete response.
    pub(super) async fn send(
        &self,
        req: &CallerRequest,
        to: SocketAddr,
        id: RequestId,
        hop: &RequestSpan,
    ) -> ExchangeResult {
        let Some(mut outgoing) = outgoing_request(req, to, id, hop) else {
            return ExchangeResult::NotSent;
        };
        let connection = capture_connection(&mut outgoing);
        let answered = tokio::time::timeout(req.remaining(), self.client.request(outgoing)).await;
        let result = match answered {
            Err(_elapsed) => ExchangeResult::Unknown(UnknownReason::TimedOut),
            Ok(Err(error)) => failed_request(&error),
            Ok(Ok(response)) => receive(response, req, id).await,
        };
        if matches!(result, ExchangeResult::Unknown(_)) {
            // What arrives later on this connection could be mistaken for another response.
            let connected = connection.connection_metadata();
            connected.iter().for_each(Connected::poison);
        }
        result
    }
}

/// Creates the request for the upstream; `None` if a header or the path would be invalid.
fn outgoing_request(
    req: &CallerRequest,
    to: SocketAddr,
    id: RequestId,
    hop: &RequestSpan,
) -> Option<Request<Full<Bytes>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(req.path.as_str())
        .build()
        .ok()?;
    let mut outgoing = Request::new(Full::new(Bytes::clone(&req.body)));
    *outgoing.method_mut() = req.method.clone();
    *outgoing.uri_mut() = uri;
    let mut headers: HeaderMap = req.headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.insert(REQUEST_ID, HeaderValue::try_from(id.to_string()).ok()?);
    hop.inject(&mut headers);
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// Classifies an error that occurred before the head of a response arrived.
fn failed_request(error: &Error) -> ExchangeResult {
    if error.is_connect() {
        ExchangeResult::NotSent
    } else {
        ExchangeResult::Unknown(UnknownReason::ConnectionLost)
    }
}

/// Reads a response and checks that it is complete and belongs to the request.
async fn receive(
    response: Response<Incoming>,
    req: &CallerRequest,
    id: RequestId,
) -> ExchangeResult {
    let (mut head, body) = response.into_parts();
    let echoed = head
        .headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    if echoed.and_then(|value| value.parse().ok()) != Some(id) {
        return ExchangeResult::Unknown(UnknownReason::CrossedAnswer);
    }
    if head
        .headers
        .get(OUTCOME)
        .is_some_and(|value| value == "not-run")
    {
        return ExchangeResult::Refused;
    }
    if !is_delimited(&head, &body) {
        return ExchangeResult::Unknown(UnknownReason::TornAnswer);
    }
    match read_body(body, req.max_response_bytes, req.remaining()).await {
        Ok(body) => {
            strip_hop_by_hop(&mut head.headers);
            head.headers
                .insert(OUTCOME, HeaderValue::from_static(Outcome::Answered.label()));
            ExchangeResult::Answered(Response::from_parts(head, Full::new(body)))
        }
        Err(BodyError::TooLarge { .. }) => ExchangeResult::Unknown(UnknownReason::OverlongAnswer),
        Err(BodyError::TooSlow { .. }) => ExchangeResult::Unknown(UnknownReason::TimedOut),
        Err(BodyError::Truncated { .. } | BodyError::NoRoom | BodyError::GivenUp) => {
            ExchangeResult::Unknown(UnknownReason::TornAnswer)
        }
    }
}

/// Whether the response declares where its body ends.
///
/// A body that ends with the connection cannot be told from one that was cut short.
fn is_delimited(head: &Parts, body: &Incoming) -> bool {
    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    chunked || body.size_hint().exact().is_some()
}
