//! Client of the platform's HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use masticfield_core::platform::{PlatformOrder, WorkerReports};
use masticfield_node::http::{Client, ClientError};
use snafu::{ResultExt, Snafu, ensure};

/// Time limit of a request to the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads reports from the platform and sends it orders.
#[derive(Debug, Clone)]
pub(super) struct PlatformClient {
    client: Client,
    address: SocketAddr,
}

/// A request to the platform failed.
#[derive(Debug, Snafu)]
pub(super) enum PlatformError {
    /// No complete response arrived in time.
    #[snafu(display("no response from the platform"))]
    NoResponse {
        /// The error of the HTTP client.
        source: ClientError,
    },
    /// The body of the response is not a list of reports.
    #[snafu(display("cannot decode the reports of the platform"))]
    Decode {
        /// The error of the decoder.
        source: serde_json::Error,
    },
    /// The platform refused the request.
    #[snafu(display("the platform refused the request with status {status}"))]
    Refused {
        /// Status of the response.
        status: StatusCode,
    },
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(REQUEST_TIMEOUT),
            address,
        }
    }

    /// Reads what changed after the cursor `since`.
    pub(super) async fn reports(&self, since: u64) -> Result<WorkerReports, PlatformError> {
        let uri = format!("http://{}/v1/workers?since={since}", self.address);
        let sent = self
            .client
            .send(Method::GET, &uri, HeaderMap::new(), "")
            .await;
        let (status, _headers, body) = sent.context(NoResponseSnafu)?;
        ensure!(status == StatusCode::OK, RefusedSnafu { status });
        serde_json::from_slice(&body).context(DecodeSnafu)
    }

    /// Sends an order, which has no effect if it was carried out before.
    pub(super) async fn send_order(&self, order: &PlatformOrder) -> Result<(), PlatformError> {
        let (method, path) = endpoint(order);
        let uri = format!("http://{}{path}", self.address);
        let sent = match order {
            PlatformOrder::Host { order, .. } => self.client.send_json(method, &uri, order).await,
            PlatformOrder::Start { order, .. } => self.client.send_json(method, &uri, order).await,
            PlatformOrder::Task { .. } => self.client.send_json(method, &uri, &()).await,
            PlatformOrder::Renew(renewal) => self.client.send_json(method, &uri, renewal).await,
        };
        let (status, _body) = sent.context(NoResponseSnafu)?;
        ensure!(status == StatusCode::ACCEPTED, RefusedSnafu { status });
        Ok(())
    }
}

/// Returns the method and the path of the request for an order.
fn endpoint(order: &PlatformOrder) -> (Method, String) {
    match order {
        PlatformOrder::Host { host, command, .. } => (Method::POST, command.path(host)),
        PlatformOrder::Start {
            job,
            index,
            attempt,
            ..
        } => (Method::PUT, format!("/v1/tasks/{job}/{index}/{attempt}")),
        PlatformOrder::Task {
            job,
            index,
            attempt,
            command,
        } => (Method::POST, command.path(job, *index, *attempt)),
        PlatformOrder::Renew(_) => (Method::POST, "/v1/leases".to_owned()),
    }
}
