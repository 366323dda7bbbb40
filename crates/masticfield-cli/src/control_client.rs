//! Client of the control replicas' operators' API.

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
use crate::error::{RefusedSnafu, ResponseSnafu};

/// Number of times that all replicas are tried before a request fails.
const ROUNDS: usize = 5;

/// Delay between two rounds over the replicas.
const ROUND_PAUSE: Duration = Duration::from_millis(400);

/// Finds the leader and sends requests to it.
///
/// Every request is idempotent, so a request whose response was lost is sent to the next replica.
#[derive(Debug, Clone)]
pub struct ControlClient {
    client: Client,
    replicas: Vec<SocketAddr>,
}

/// Result of sending a request to one replica.
enum Attempt {
    /// The replica reaches no quorum or does not know the outcome; the same request, sent again,
    /// is carried out once.
    SendAgain(Problem),
    /// The replica at this address carried out the request and sent this body.
    Response(SocketAddr, Bytes),
    /// The replica does not lead; the leader's address, if the replica knows it.
    Redirect(Option<SocketAddr>),
    /// The replica at this address sent no response.
    Unreachable(SocketAddr, ClientError),
    /// A replica refused the request.
    Refused(Problem),
}

impl ControlClient {
    /// Creates a client that tries the replicas in the given order and waits at most `timeout` for
    /// each response.
    pub fn new(replicas: Vec<SocketAddr>, token: Token, timeout: Duration) -> Self {
        Self {
            client: Client::new(timeout).token(token),
            replicas,
        }
    }

    /// Sends a GET request and parses the response.
    ///
    /// # Errors
    ///
    /// Fails if no replica leads or responds, or if a replica refuses the request.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        self.send(Method::GET, path, Bytes::new()).await
    }

    /// Sends a POST request with a body and parses the response.
    ///
    /// # Errors
    ///
    /// Fails like [`get`](Self::get).
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, CliError> {
        self.send(Method::POST, path, body.into()).await
    }

    /// Sends a request to the replicas in turn, following redirects, until one carries it out or
    /// refuses it.
    async fn send<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, CliError> {
        let mut last_error = CliError::NoLeader;
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            let mut untried: Vec<_> = self.replicas.iter().rev().copied().collect();
            let mut redirects = 0;
            while let Some(address) = untried.pop() {
                match self
                    .try_replica(address, &method, path, body.clone())
                    .await?
                {
                    Attempt::Response(address, json) => {
                        return serde_json::from_slice(&json).context(ResponseSnafu { address });
                    }
                    Attempt::SendAgain(problem) => {
                        last_error = RefusedSnafu { problem }.build();
                    }
                    Attempt::Refused(problem) => return RefusedSnafu { problem }.fail(),
                    Attempt::Redirect(Some(leader)) if redirects < self.replicas.len() => {
                        redirects += 1;
                        untried.push(leader);
                    }
                    Attempt::Redirect(_) => last_error = CliError::NoLeader,
                    Attempt::Unreachable(address, source) => {
                        last_error = CliError::Unreachable { address, source };
                    }
                }
            }
        }
        Err(last_error)
    }

    async fn try_replica(
        &self,
        address: SocketAddr,
        method: &Method,
        path: &str,
        body: Bytes,
    ) -> Result<Attempt, CliError> {
        let uri = format!("http://{address}{path}");
        let result = self
            .client
            .send(method.clone(), &uri, HeaderMap::new(), body)
            .await;
        let (status, _headers, body) = match result {
            Ok(response) => response,
            Err(source) => return Ok(Attempt::Unreachable(address, source)),
        };
        if status == StatusCode::OK {
            return Ok(Attempt::Response(address, body));
        }
        match serde_json::from_slice(&body).context(ResponseSnafu { address })? {
            Problem::NotLeader { leader } => Ok(Attempt::Redirect(leader)),
            problem @ (Problem::NoQuorum | Problem::Undecided | Problem::Overloaded) => {
                Ok(Attempt::SendAgain(problem))
            }
            problem => Ok(Attempt::Refused(problem)),
        }
    }
}
