//! One exchange with an upstream.

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
use masticfield_node::trace::Hop;

use super::headers::{OUTCOME, REQUEST_ID, strip_hop_by_hop};
use super::request::CallerRequest;

/// Time within which an upstream must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after which an unused connection to an upstream is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Connections that an upstream keeps for all entries together.
const UPSTREAM_CONNECTIONS: usize = 64;

/// Largest head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Sends requests to upstreams over kept connections.
#[derive(Debug, Clone)]
pub(super) struct Exchange {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// How an exchange ended.
#[derive(Debug)]
pub(super) enum Exchanged {
    /// The whole answer to this request.
    Answered(Reply),
    /// The executor proved that it did not start the request.
    Refused,
    /// No byte of the request was sent.
    NotSent,
    /// No time was left to send the request.
    TooLate,
    /// No proof either way.
    Unknown(UnknownReason),
}

impl Exchange {
    /// Creates a client without connections, of one of so many entries.
    ///
    /// It keeps at most its share of an upstream's connections while they are unused.
    pub(super) fn new(entry_count: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host((UPSTREAM_CONNECTIONS / entry_count.max(1)).max(1))
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .build(connector);
        Self { client }
    }

    /// Sends `req` to the executor at `to` and waits for its whole answer.
    pub(super) async fn run(
        &self,
        req: &CallerRequest,
        to: SocketAddr,
        id: RequestId,
        hop: &Hop,
    ) -> Exchanged {
        let Some(mut outgoing) = outgoing(req, to, id, hop) else {
            return Exchanged::NotSent;
        };
        let connection = capture_connection(&mut outgoing);
        let answered = tokio::time::timeout(req.left(), self.client.request(outgoing)).await;
        let exchanged = match answered {
            Err(_elapsed) => Exchanged::Unknown(UnknownReason::TimedOut),
            Ok(Err(error)) => broken(&error),
            Ok(Ok(answer)) => receive(answer, req, id).await,
        };
        if matches!(exchanged, Exchanged::Unknown(_)) {
            // What else arrives on this connection may belong to other requests.
            let connected = connection.connection_metadata();
            connected.iter().for_each(Connected::poison);
        }
        exchanged
    }
}

/// The request as the upstream sees it; nothing if a value is no valid header or path.
fn outgoing(
    req: &CallerRequest,
    to: SocketAddr,
    id: RequestId,
    hop: &Hop,
) -> Option<Request<Full<Bytes>>> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(to.to_string())
        .path_and_query(req.path.as_str())
        .build()
        .ok()?;
    let mut outgoing = Request::new(Full::new(req.body.clone()));
    *outgoing.method_mut() = req.method.clone();
    *outgoing.uri_mut() = uri;
    let mut headers: HeaderMap = req.headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.insert(REQUEST_ID, HeaderValue::try_from(id.to_string()).ok()?);
    hop.inject(&mut headers);
    *outgoing.headers_mut() = headers;
    Some(outgoing)
}

/// An error before the head of an answer.
fn broken(error: &Error) -> Exchanged {
    if error.is_connect() {
        Exchanged::NotSent
    } else {
        Exchanged::Unknown(UnknownReason::ConnectionLost)
    }
}

async fn receive(answer: Response<Incoming>, req: &CallerRequest, id: RequestId) -> Exchanged {
    let (mut head, body) = answer.into_parts();
    let echoed = head
        .headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    if echoed.and_then(|value| value.parse().ok()) != Some(id) {
        return Exchanged::Unknown(UnknownReason::CrossedAnswer);
    }
    if head
        .headers
        .get(OUTCOME)
        .is_some_and(|value| value == "not-run")
    {
        return Exchanged::Refused;
    }
    if !is_delimited(&head, &body) {
        return Exchanged::Unknown(UnknownReason::TornAnswer);
    }
    match read_body(body, req.max_answer_bytes, req.left()).await {
        Ok(body) => {
            strip_hop_by_hop(&mut head.headers);
            head.headers
                .insert(OUTCOME, HeaderValue::from_static(Outcome::Answered.label()));
            Exchanged::Answered(Response::from_parts(head, Full::new(body)))
        }
        Err(BodyError::TooLarge { .. }) => Exchanged::Unknown(UnknownReason::OverlongAnswer),
        Err(BodyError::TooSlow { .. }) => Exchanged::Unknown(UnknownReason::TimedOut),
        Err(BodyError::Torn { .. }) => Exchanged::Unknown(UnknownReason::TornAnswer),
    }
}

/// Whether the end of the body can be told from the end of the connection.
fn is_delimited(head: &Parts, body: &Incoming) -> bool {
    let chunked = head.headers.contains_key(TRANSFER_ENCODING);
    chunked || body.size_hint().exact().is_some()
}
