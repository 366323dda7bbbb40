//! The handle of an entry's connection to the leading replica.

use masticfield_jobs::leader::{JobRequest, Refusal, Reply};
use masticfield_jobs::queue::RequestLimits;
use tokio::sync::{mpsc, oneshot, watch};

/// A question for the leading replica.
#[derive(Debug)]
pub(super) struct Question {
    pub(super) intake: JobRequest,
    pub(super) reply: oneshot::Sender<Reply>,
}

/// What the connection has shown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeaderLinkStatus {
    /// Whether the leading replica is connected.
    pub connected: bool,
    /// Bounds of what callers send, once they are known.
    pub limits: Option<RequestLimits>,
}

/// Asks the leading replica.
#[derive(Debug, Clone)]
pub struct LeaderLinkHandle {
    pub(super) tx: mpsc::UnboundedSender<Question>,
    pub(super) status: watch::Receiver<LeaderLinkStatus>,
}

impl LeaderLinkHandle {
    /// What the connection has shown.
    pub fn status(&self) -> LeaderLinkStatus {
        *self.status.borrow()
    }

    /// Asks the leading replica; [`Reply::Unknown`] if the question was sent and got no answer.
    pub async fn request(&self, intake: JobRequest) -> Reply {
        let (reply, answer) = oneshot::channel();
        if self.tx.send(Question { intake, reply }).is_err() {
            return Reply::Refused(Refusal::NotReady);
        }
        answer.await.unwrap_or(Reply::Unknown)
    }
}
