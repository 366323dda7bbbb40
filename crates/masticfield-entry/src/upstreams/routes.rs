//! The route for the announcements of upstreams.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use masticfield_core::kernel::Shutdown;
use masticfield_core::membership::Announcement;
use masticfield_node::http::{BodyError, Reply, RequestBody, json_reply};
use masticfield_routing::membership::AnnouncementRefusal;
use serde::Serialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use xtra::Address;

use crate::control::ControlLink;
use crate::peers::{Announce, PeerActor};

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 8 * 1024;

/// Handles the announcements of upstreams.
#[derive(Debug, Clone)]
pub(super) struct Routes {
    pub peers: Address<PeerActor>,
    pub control: ControlLink,
    /// Time limit for reading the body of an announcement.
    pub body_timeout: Duration,
    /// Time after which an upstream expires unless it announces itself again.
    pub ttl: Duration,
    pub shutdown: Shutdown,
}

/// The body of the response to an accepted announcement.
#[derive(Debug, Serialize)]
struct Accepted {
    /// Time to live of the announcement.
    ttl_ms: u128,
    /// Time after which the upstream should announce itself again.
    again_in_ms: u128,
}

/// An announcement was refused.
#[derive(Debug, Snafu)]
enum AnnounceError {
    /// The body is too large, too slow or cut short.
    #[snafu(display("{source}"))]
    Body {
        /// The cause.
        source: BodyError,
    },
    /// The body is not a valid announcement.
    #[snafu(display("the body is no announcement: {source}"))]
    InvalidAnnouncement {
        /// The cause.
        source: serde_json::Error,
    },
    /// The numbers of slots and connections are out of range.
    #[snafu(display("an upstream has at least one slot and as many connections as slots"))]
    OutOfRange,
    /// The membership refused the announcement.
    #[snafu(display("{source}"))]
    Refused {
        /// The cause.
        source: AnnouncementRefusal,
    },
    /// The maximum number of upstreams is reached.
    #[snafu(display("{source}"))]
    Full {
        /// The cause.
        source: AnnouncementRefusal,
    },
    /// The method or path is not served.
    #[snafu(display("only POST /v1/upstreams is served here"))]
    NoSuchOperation,
    /// The entry is stopping.
    #[snafu(display("the entry is stopping"))]
    Stopping,
}

/// The body of the response to a refused announcement.
#[derive(Debug, Serialize)]
struct Refusal {
    title: String,
}

impl Routes {
    /// Handles one request.
    pub(super) async fn handle(&self, req: Request<RequestBody>) -> Reply {
        match self.announce(req).await {
            Ok(again_in) => json_reply(
                StatusCode::OK,
                &Accepted {
                    ttl_ms: self.ttl.as_millis(),
                    again_in_ms: again_in.as_millis(),
                },
            ),
            Err(error) => {
                log::info!(error:%; "an announcement was refused");
                json_reply(
                    error.status(),
                    &Refusal {
                        title: error.to_string(),
                    },
                )
            }
        }
    }

    async fn announce(&self, req: Request<RequestBody>) -> Result<Duration, AnnounceError> {
        if req.method() != Method::POST || req.uri().path() != "/v1/upstreams" {
            return NoSuchOperationSnafu.fail();
        }
        let body = req.into_body();
        let body = body.read(MAX_ANNOUNCEMENT_BYTES, self.body_timeout).await;
        let body = body.context(BodySnafu)?;
        let announcement: Announcement =
            serde_json::from_slice(&body).context(InvalidAnnouncementSnafu)?;
        if announcement.slots == 0 || announcement.connections < announcement.slots {
            return OutOfRangeSnafu.fail();
        }
        // A refused upstream announces itself to another entry, which stays.
        ensure!(!self.shutdown.is_requested(), StoppingSnafu);
        let accepted = self.peers.send(Announce(announcement.clone())).await;
        let accepted = accepted.ok().flatten().context(StoppingSnafu)?;
        let again_in = accepted.map_err(AnnounceError::from_refusal)?;
        self.control.report_upstream(announcement).await;
        Ok(again_in)
    }
}

impl AnnounceError {
    const fn from_refusal(source: AnnouncementRefusal) -> Self {
        match source {
            AnnouncementRefusal::Full { .. } => Self::Full { source },
            _ => Self::Refused { source },
        }
    }

    const fn status(&self) -> StatusCode {
        match self {
            Self::Body {
                source: BodyError::TooLarge { .. },
            } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body {
                source: BodyError::TooSlow { .. },
            } => StatusCode::REQUEST_TIMEOUT,
            Self::Body { source } if source.is_overload() => StatusCode::SERVICE_UNAVAILABLE,
            Self::Body { .. } | Self::InvalidAnnouncement { .. } => StatusCode::BAD_REQUEST,
            Self::Refused {
                source: AnnouncementRefusal::Stale { .. } | AnnouncementRefusal::Changed,
            } => StatusCode::CONFLICT,
            Self::Refused { .. } | Self::OutOfRange => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoSuchOperation => StatusCode::NOT_FOUND,
            Self::Full { .. } | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
