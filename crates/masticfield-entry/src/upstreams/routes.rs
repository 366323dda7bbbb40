//! The routes for upstreams.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use masticfield_core::membership::Announcement;
use masticfield_node::http::{BodyError, Reply, json_reply, read_body};
use serde::Serialize;
use snafu::{ResultExt, Snafu};
use xtra::Address;

use crate::control::ControlLink;
use crate::router::{Announce, RouterActor};

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 8 * 1024;

/// Answers upstreams.
#[derive(Debug, Clone)]
pub(super) struct Routes {
    pub router: Address<RouterActor>,
    pub control: ControlLink,
    pub body_timeout: Duration,
    pub ttl: Duration,
}

/// What an upstream is told.
#[derive(Debug, Serialize)]
struct Accepted {
    /// Time to live of the announcement.
    ttl_ms: u128,
}

/// Why an announcement is refused.
#[derive(Debug, Snafu)]
enum AnnounceError {
    /// The body is too large, too slow or cut short.
    #[snafu(display("{source}"))]
    Body {
        /// The cause.
        source: BodyError,
    },
    /// The body is no announcement.
    #[snafu(display("the body is no announcement: {source}"))]
    NoAnnouncement {
        /// The cause.
        source: serde_json::Error,
    },
    /// A value is out of its range.
    #[snafu(display("an upstream has at least one slot and as many connections as slots"))]
    OutOfRange,
    /// There is no such operation.
    #[snafu(display("only POST /v1/upstreams is served here"))]
    NoSuchOperation,
    /// The entry stops.
    #[snafu(display("the entry is stopping"))]
    Stopping,
}

#[derive(Debug, Serialize)]
struct Refused {
    title: String,
}

impl Routes {
    /// Answers one request.
    pub(super) async fn answer(&self, req: Request<Incoming>) -> Reply {
        match self.announce(req).await {
            Ok(()) => json_reply(
                StatusCode::OK,
                &Accepted {
                    ttl_ms: self.ttl.as_millis(),
                },
            ),
            Err(error) => {
                log::info!(error:%; "an announcement was refused");
                json_reply(
                    error.status(),
                    &Refused {
                        title: error.to_string(),
                    },
                )
            }
        }
    }

    async fn announce(&self, req: Request<Incoming>) -> Result<(), AnnounceError> {
        if req.method() != Method::POST || req.uri().path() != "/v1/upstreams" {
            return NoSuchOperationSnafu.fail();
        }
        let body = read_body(req.into_body(), MAX_ANNOUNCEMENT_BYTES, self.body_timeout).await;
        let body = body.context(BodySnafu)?;
        let announcement: Announcement =
            serde_json::from_slice(&body).context(NoAnnouncementSnafu)?;
        if announcement.slots == 0 || announcement.connections < announcement.slots {
            return OutOfRangeSnafu.fail();
        }
        self.control.report(announcement.clone()).await;
        self.router
            .send(Announce(announcement))
            .await
            .ok()
            .ok_or(AnnounceError::Stopping)
    }
}

impl AnnounceError {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Body {
                source: BodyError::TooLarge { .. },
            } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body {
                source: BodyError::TooSlow { .. },
            } => StatusCode::REQUEST_TIMEOUT,
            Self::Body { .. } | Self::NoAnnouncement { .. } => StatusCode::BAD_REQUEST,
            Self::OutOfRange => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoSuchOperation => StatusCode::NOT_FOUND,
            Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
