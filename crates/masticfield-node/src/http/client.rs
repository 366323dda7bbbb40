//! HTTP client with a timeout for each request.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use snafu::{ResultExt, Snafu};

use super::{BodyError, read_body};
use crate::token::Token;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Default time for which idle connections are kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends requests over pooled connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    token: Option<Token>,
}

/// Reason why a request got no complete response.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The URI or a header of the request is malformed.
    #[snafu(display("the request is malformed"))]
    Malformed {
        /// The cause.
        source: http::Error,
    },
    /// The peer cannot be reached, or broke the connection before it responded.
    #[snafu(display("the peer did not respond"))]
    Unreachable {
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// No response arrived within the timeout.
    #[snafu(display("no response within {timeout:?}"))]
    TimedOut {
        /// Time within which it had to arrive.
        timeout: Duration,
    },
    /// The body of the response cannot be read.
    #[snafu(display("the response cannot be read"))]
    Response {
        /// The cause.
        source: BodyError,
    },
}

impl Client {
    /// Creates a client that waits at most `timeout` for each response.
    pub fn new(timeout: Duration) -> Self {
        Self::with_idle_timeout(timeout, IDLE_TIMEOUT)
    }

    /// Creates a client that also closes connections that are idle for `idle_timeout`.
    pub fn with_idle_timeout(timeout: Duration, idle_timeout: Duration) -> Self {
        let mut builder = Pool::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_timeout);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self {
            pool: builder.build(connector),
            timeout,
            token: None,
        }
    }

    /// Sets the bearer token that each request carries.
    #[must_use]
    pub fn token(mut self, token: Token) -> Self {
        self.token = Some(token);
        self
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time. No status code is an error.
    pub async fn send(
        &self,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), ClientError> {
        self.send_within(self.timeout, method, uri, headers, body)
            .await
    }

    /// Sends a request with a timeout of its own and reads the whole response.
    ///
    /// # Errors
    ///
    /// Fails like [`send`](Self::send).
    pub async fn send_within(
        &self,
        timeout: Duration,
        method: Method,
        uri: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) -> Result<(StatusCode, HeaderMap, Bytes), ClientError> {
        let uri: Uri = uri
            .parse()
            .map_err(http::Error::from)
            .context(MalformedSnafu)?;
        let mut builder = Request::builder().method(method).uri(uri);
        if let Some(token) = &self.token {
            builder = builder.header(AUTHORIZATION, token.authorization());
        }
        let mut req = builder
            .body(Full::new(body.into()))
            .context(MalformedSnafu)?;
        req.headers_mut().extend(headers);
        let sent = tokio::time::timeout(timeout, self.pool.request(req)).await;
        let sent = sent.map_err(|_elapsed| ClientError::TimedOut { timeout })?;
        let (head, body) = sent.context(UnreachableSnafu)?.into_parts();
        let body = read_body(body, MAX_RESPONSE_BYTES, timeout)
            .await
            .context(ResponseSnafu)?;
        Ok((head.status, head.headers, body))
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// Fails like [`send`](Self::send).
    ///
    /// # Panics
    ///
    /// Panics if `body` cannot be serialized as JSON, which is a bug of its type.
    pub async fn send_json(
        &self,
        method: Method,
        uri: &str,
        body: &impl serde::Serialize,
    ) -> Result<(StatusCode, Bytes), ClientError> {
        let json = serde_json::to_vec(body).expect("requests are plain data");
        let value = http::HeaderValue::from_static("application/json");
        let headers = HeaderMap::from_iter([(CONTENT_TYPE, value)]);
        let (status, _headers, body) = self.send(method, uri, headers, json).await?;
        Ok((status, body))
    }
}
