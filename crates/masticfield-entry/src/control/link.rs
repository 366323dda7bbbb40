//! The handle to the connection with the control replicas.

use masticfield_core::claim::{Claim, ClaimVerdict};
use masticfield_core::membership::Announcement;
use masticfield_wire::control::EndedClaim;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use super::Served;

/// Asks the control replicas, and reads the configuration that may be served.
#[derive(Debug, Clone)]
pub(crate) struct ControlLink {
    tx: mpsc::Sender<Ask>,
    served: watch::Receiver<Served>,
}

/// What the connection is asked for.
#[derive(Debug)]
pub(super) enum Ask {
    /// A claim, and where its verdict goes.
    Claim(Claim, oneshot::Sender<ClaimVerdict>),
    /// The end of a claimed request.
    End(EndedClaim),
    /// An upstream that announced itself.
    Report(Announcement),
}

/// A claim got no verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum LinkError {
    /// Whether the claim is durable is not known.
    #[snafu(display("the control replicas gave no verdict"))]
    NoVerdict,
    /// The entry stops.
    #[snafu(display("the connection to the control replicas is closed"))]
    Closed,
}

impl ControlLink {
    pub(super) const fn new(tx: mpsc::Sender<Ask>, served: watch::Receiver<Served>) -> Self {
        Self { tx, served }
    }

    /// The configuration that may be served now.
    pub(crate) fn served(&self) -> Served {
        self.served.borrow().clone()
    }

    /// The configuration that may be served, and its changes.
    pub(crate) fn watch_served(&self) -> watch::Receiver<Served> {
        self.served.clone()
    }

    /// Claims a key durably.
    pub(crate) async fn claim(&self, claim: Claim) -> Result<ClaimVerdict, LinkError> {
        let (tx, verdict) = oneshot::channel();
        self.tx
            .send(Ask::Claim(claim, tx))
            .await
            .ok()
            .ok_or(LinkError::Closed)?;
        verdict.await.map_err(|_dropped| LinkError::NoVerdict)
    }

    /// Tells how a claimed request ended.
    pub(crate) async fn end(&self, ended: EndedClaim) {
        // Without it the claim stays held, which is safe.
        drop(self.tx.send(Ask::End(ended)).await);
    }

    /// Reports an upstream.
    pub(crate) async fn report(&self, announcement: Announcement) {
        // It announces itself again.
        drop(self.tx.send(Ask::Report(announcement)).await);
    }
}
