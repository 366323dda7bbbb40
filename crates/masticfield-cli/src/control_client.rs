//! Asks the control replicas.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use masticfield_core::operator::Problem;
use masticfield_node::http::{Client, ClientError};
use masticfield_node::token::Token;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::CliError;
use crate::error::{AnswerSnafu, RefusedSnafu};

/// Rounds over all replicas before it is said that none leads.
const ROUNDS: usize = 5;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// Finds the leader and sends it requests.
///
/// Every request is idempotent, so one whose answer was lost is sent to the next replica.
#[derive(Debug, Clone)]
pub struct ControlClient {
    client: Client,
    replicas: Vec<SocketAddr>,
}

/// What to do after one try.
enum Tried {
    /// The replica reaches no quorum; another one may.
    NoQuorum,
    Answer(SocketAddr, Bytes),
    Redirect(Option<SocketAddr>),
    NextReplica(SocketAddr, ClientError),
    Refused(Problem),
}

impl ControlClient {
    /// Creates a client of the replicas, which are tried in their order.
    pub fn new(replicas: Vec<SocketAddr>, token: Token, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout).token(token),
            replicas,
        }
    }

    /// Gets a report.
    ///
    /// # Errors
    ///
    /// Fails if no replica leads or answers, or the leader refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.ask(Method::GET, path, Bytes::new()).await
    }

    /// Posts a body.
    ///
    /// # Errors
    ///
    /// As [`get`](Self::get).
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, CliError> {
        self.ask(Method::POST, path, body.into()).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CliError> {
        let mut last = CliError::NoLeader;
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            let mut queue: Vec<_> = self.replicas.iter().rev().copied().collect();
            let mut redirects = 0;
            while let Some(address) = queue.pop() {
                match self.try_one(address, &method, path, body.clone()).await? {
                    Tried::Answer(address, json) => {
                        return serde_json::from_slice(&json).context(AnswerSnafu { address });
                    }
                    Tried::NoQuorum => {
                        let problem = Problem::NoQuorum;
                        last = RefusedSnafu { problem }.build();
                    }
                    Tried::Refused(problem) => return RefusedSnafu { problem }.fail(),
                    Tried::Redirect(Some(leader)) if redirects < self.replicas.len() => {
                        redirects += 1;
                        queue.push(leader);
                    }
                    Tried::Redirect(_) => last = CliError::NoLeader,
                    Tried::NextReplica(address, source) => {
                        last = CliError::Unreachable { address, source };
                    }
                }
            }
        }
        Err(last)
    }

    async fn try_one(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Tried, CliError> {
        let uri = format!("http://{address}{path}");
        let sent = self
            .client
            .send(method.clone(), &uri, HeaderMap::new(), body)
            .await;
        let (status, _headers, body) = match sent {
            Ok(answer) => answer,
            Err(source) => return Ok(Tried::NextReplica(address, source)),
        };
        if status == StatusCode::OK {
            return Ok(Tried::Answer(address, body));
        }
        match serde_json::from_slice(&body).context(AnswerSnafu { address })? {
            Problem::NotLeader { leader } => Ok(Tried::Redirect(leader)),
            Problem::NoQuorum => Ok(Tried::NoQuorum),
            problem => Ok(Tried::Refused(problem)),
        }
    }
}
