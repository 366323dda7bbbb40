//! The routes for upstreams.

use std::time::Duration;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use masticfield_core::kernel::Shutdown;
use masticfield_core::membership::Announcement;
use masticfield_node::http::{BodyError, Reply, json_reply, read_body};
use masticfield_routing::membership::AnnouncementRefusal;
use serde::Serialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use xtra::Address;

use crate::control::ControlLink;
use crate::peers::{Announced, PeerActor};

/// Largest body of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 8 * 1024;

/// Answers upstreams.
#[derive(Debug, Clone)]
pub(super) struct Routes {
    pub peers: Address<PeerActor>,
    pub control: ControlLink,
    pub body_timeout: Duration,
    pub ttl: Duration,
    pub shutdown: Shutdown,
}

/// What an upstream is told.
#[derive(Debug, Serialize)]
struct Accepted {
    /// Time to live of the announcement.
    ttl_ms: u128,
    /// Time until the upstream is to announce itself again.
    again_in_ms: u128,
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
    /// The membership refuses it.
    #[snafu(display("{source}"))]
    Refused {
        /// The cause.
        source: AnnouncementRefusal,
    },
    /// No more upstreams are kept.
    #[snafu(display("{source}"))]
    Full {
        /// The cause.
        source: AnnouncementRefusal,
    },
    /// There is no such operation.
    #[snafu(display("only POST /v1/upstreams is served here"))]
    NoSuchOperation,
    /// The entry stops.
    #[snafu(display("the entry is stopping"))]
    Stopping,
}

#[derive(Debug, Serialize)]
struct Refusal {
    title: String,
}

impl Routes {
    /// Answers one request.
    pub(super) async fn answer(&self, req: Request<Incoming>) -> Reply {
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

    async fn announce(&self, req: Request<Incoming>) -> Result<Duration, AnnounceError> {
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
        // Its next announcement goes to an entry that stays.
        ensure!(!self.shutdown.is_begun(), StoppingSnafu);
        let accepted = self.peers.send(Announced(announcement.clone())).await;
        let accepted = accepted.ok().flatten().context(StoppingSnafu)?;
        let again_in = accepted.map_err(AnnounceError::refused)?;
        self.control.report(announcement).await;
        Ok(again_in)
    }
}

impl AnnounceError {
    const fn refused(source: AnnouncementRefusal) -> Self {
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
            Self::Body { .. } | Self::NoAnnouncement { .. } => StatusCode::BAD_REQUEST,
            Self::Refused {
                source: AnnouncementRefusal::Stale { .. } | AnnouncementRefusal::Changed,
            } => StatusCode::CONFLICT,
            Self::Refused { .. } | Self::OutOfRange => StatusCode::UNPROCESSABLE_ENTITY,
            Self::NoSuchOperation => StatusCode::NOT_FOUND,
            Self::Full { .. } | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}
