//! A small HTTP client.

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

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Time for which an idle connection is kept if nothing else is set.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends requests over kept connections.
#[derive(Debug, Clone)]
pub struct Client {
    pool: Pool<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    token: Option<Token>,
}

/// A request got no whole answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The address or a header is malformed.
    #[snafu(display("the request is malformed"))]
    Malformed {
        /// The cause.
        source: http::Error,
    },
    /// The peer cannot be reached or broke the connection.
    #[snafu(display("the peer did not answer"))]
    Unreachable {
        /// The cause.
        source: hyper_util::client::legacy::Error,
    },
    /// There was no answer in time.
    #[snafu(display("no answer within {timeout:?}"))]
    TimedOut {
        /// The time it had.
        timeout: Duration,
    },
    /// The answer is not whole.
    #[snafu(display("the answer cannot be read"))]
    Answer {
        /// The cause.
        source: BodyError,
    },
}

impl Client {
    /// Creates a client that waits at most `timeout` for each answer.
    pub fn new(timeout: Duration) -> Self {
        Self::with_idle_timeout(timeout, IDLE_TIMEOUT)
    }

    /// Creates a client that also keeps idle connections for `idle`.
    pub fn with_idle_timeout(timeout: Duration, idle: Duration) -> Self {
        let mut builder = Pool::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle);
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self {
            pool: builder.build(connector),
            timeout,
            token: None,
        }
    }

    /// Sets the token that each request carries.
    #[must_use]
    pub fn token(mut self, token: Token) -> Self {
        self.token = Some(token);
        self
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Fails if no whole answer arrives in time; any status is an answer.
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

    /// Sends a request that has a time-out of its own and reads the whole answer.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
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
        let body = read_body(body, MAX_ANSWER_BYTES, timeout)
            .await
            .context(AnswerSnafu)?;
        Ok((head.status, head.headers, body))
    }

    /// Sends a request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send).
    ///
    /// # Panics
    ///
    /// Panics if `body` cannot be written as JSON, which is a bug of its type.
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
