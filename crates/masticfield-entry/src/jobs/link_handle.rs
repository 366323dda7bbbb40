//! The handle through which requests reach the leading replica.

use masticfield_jobs::leader::{JobRequest, Refusal, Reply};
use masticfield_jobs::queue::RequestLimits;
use tokio::sync::{mpsc, oneshot, watch};

/// A request on its way to the leading replica, and where its reply goes.
#[derive(Debug)]
pub(super) struct QueuedRequest {
    pub(super) request: JobRequest,
    pub(super) reply_to: oneshot::Sender<Reply>,
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
    pub(super) tx: mpsc::UnboundedSender<QueuedRequest>,
    pub(super) status: watch::Receiver<LeaderLinkStatus>,
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
        let (reply_to, reply) = oneshot::channel();
        if self.tx.send(QueuedRequest { request, reply_to }).is_err() {
            return Reply::Refused(Refusal::NotReady);
        }
        reply.await.unwrap_or(Reply::Unknown)
    }
}
