//! The platform's HTTP face, from the side of the control process.

use std::net::SocketAddr;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use masticfield_core::platform::{PlatformOrder, WorkerReports};
use masticfield_node::http::{Client, ClientError};
use snafu::{ResultExt, Snafu, ensure};

/// Time within which the platform must answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads reports from the platform and sends it orders.
#[derive(Debug, Clone)]
pub(super) struct PlatformClient {
    client: Client,
    address: SocketAddr,
}

/// The platform did not do what it was asked.
#[derive(Debug, Snafu)]
pub(super) enum PlatformError {
    /// There was no whole answer.
    #[snafu(display("the platform does not answer"))]
    NoAnswer {
        /// The cause.
        source: ClientError,
    },
    /// The answer is no report.
    #[snafu(display("the platform's report cannot be read"))]
    Report {
        /// The cause.
        source: serde_json::Error,
    },
    /// The order was refused.
    #[snafu(display("the platform refused an order with {status}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
    },
}

impl PlatformClient {
    /// Creates a client of the platform at `address`.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::new(PLATFORM_TIMEOUT),
            address,
        }
    }

    /// What changed since a cursor.
    pub(super) async fn reports(&self, since: u64) -> Result<WorkerReports, PlatformError> {
        let uri = format!("http://{}/v1/workers?since={since}", self.address);
        let sent = self
            .client
            .send(Method::GET, &uri, HeaderMap::new(), "")
            .await;
        let (status, _headers, body) = sent.context(NoAnswerSnafu)?;
        ensure!(status == StatusCode::OK, RefusedSnafu { status });
        serde_json::from_slice(&body).context(ReportSnafu)
    }

    /// Sends an order; one that was carried out before changes nothing.
    pub(super) async fn carry_out(&self, order: &PlatformOrder) -> Result<(), PlatformError> {
        let (method, path) = target(order);
        let uri = format!("http://{}{path}", self.address);
        let sent = match order {
            PlatformOrder::Host { order, .. } => self.client.send_json(method, &uri, order).await,
            PlatformOrder::Start { order, .. } => self.client.send_json(method, &uri, order).await,
            PlatformOrder::Task { .. } => self.client.send_json(method, &uri, &()).await,
            PlatformOrder::Renew(renewal) => self.client.send_json(method, &uri, renewal).await,
        };
        let (status, _body) = sent.context(NoAnswerSnafu)?;
        ensure!(status == StatusCode::ACCEPTED, RefusedSnafu { status });
        Ok(())
    }
}

fn target(order: &PlatformOrder) -> (Method, String) {
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
