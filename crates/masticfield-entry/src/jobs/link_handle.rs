//! The handle through which requests reach the leading replica.

use std::sync::{Arc, Mutex, PoisonError};

use masticfield_core::clock::boot_now;
use masticfield_jobs::leader::{
    Announcement, BriefAnnouncement, Departure, JobRequest, Refusal, Reply,
};
use masticfield_jobs::protocol::EntryRequest;
use masticfield_jobs::queue::RequestLimits;
use masticfield_jobs::relay::{CallResult, ConfirmedAnnouncements};
use tokio::sync::{mpsc, oneshot, watch};

/// A request on its way to the leading replica, and where its reply goes.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: EntryRequest,
    pub(super) reply_to: oneshot::Sender<Reply>,
}

/// What a [`LeaderLink`](super::LeaderLink) sends to the leading replica.
#[derive(Debug)]
pub(super) enum LinkInput {
    /// A request, which is sent again over the next connection until it has a reply.
    Request(QueuedRequest),
    /// A repeated announcement; dropped without a connection.
    AnnouncedAgain(BriefAnnouncement),
    /// The result of a relayed call; dropped unless this connection is the current one.
    CallResult {
        connection: u64,
        number: u64,
        result: CallResult,
    },
}

/// Announcements that the leader has confirmed over the current connection.
#[derive(Debug, Clone, Default)]
pub(super) struct SharedAnnouncements(Arc<Mutex<ConfirmedAnnouncements>>);

impl SharedAnnouncements {
    /// Calls `f` with the announcements.
    pub(super) fn with<R>(&self, f: impl FnOnce(&mut ConfirmedAnnouncements) -> R) -> R {
        f(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// State of the connection to the leading replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderLinkStatus {
    /// Whether a replica that leads is connected now.
    pub connected: bool,
    /// Limits for callers' requests, as last sent by a leader.
    ///
    /// `None` if no leader was reached yet or no configuration is in force.
    pub limits: Option<RequestLimits>,
}

/// Sends requests over a [`LeaderLink`](super::LeaderLink) and shows its state.
#[derive(Debug, Clone)]
pub struct LeaderLinkHandle {
    pub(super) tx: mpsc::UnboundedSender<LinkInput>,
    pub(super) status: watch::Receiver<LeaderLinkStatus>,
    pub(super) announcements: SharedAnnouncements,
}

impl LeaderLinkHandle {
    /// Returns the current state of the connection.
    pub fn status(&self) -> LeaderLinkStatus {
        *self.status.borrow()
    }

    /// Sends a request to the leading replica and waits for its reply.
    ///
    /// A request that could not be sent in time gets [`Refusal::NotReady`]: it has no effect. One
    /// that was sent and got no reply in time gets [`Reply::Unknown`]: it may have taken effect.
    pub async fn request(&self, request: JobRequest) -> Reply {
        self.send(EntryRequest::Job(request)).await
    }

    /// Passes on the announcement of an executor.
    ///
    /// One that only repeats what the connected leader has confirmed is done at once.
    pub async fn announce(&self, announcement: Announcement) -> Reply {
        if !self.status().connected {
            return Reply::Refused(Refusal::NotReady);
        }
        let now = boot_now();
        let brief = self
            .announcements
            .with(|confirmed| confirmed.brief(now, &announcement));
        if let Some(brief) = brief {
            let sent = self.tx.send(LinkInput::AnnouncedAgain(brief));
            return sent.map_or(Reply::Refused(Refusal::NotReady), |()| Reply::Done);
        }
        let reply = self
            .send(EntryRequest::Announce(announcement.clone()))
            .await;
        if reply == Reply::Done && self.status().connected {
            self.announcements
                .with(|confirmed| confirmed.confirm(boot_now(), &announcement));
        }
        reply
    }

    /// Passes on that an executor is about to end.
    pub async fn leave(&self, departure: Departure) -> Reply {
        self.send(EntryRequest::Leave(departure)).await
    }

    async fn send(&self, request: EntryRequest) -> Reply {
        let (reply_to, reply) = oneshot::channel();
        let queued = LinkInput::Request(QueuedRequest { request, reply_to });
        if self.tx.send(queued).is_err() {
            return Reply::Refused(Refusal::NotReady);
        }
        reply.await.unwrap_or(Reply::Unknown)
    }
}
