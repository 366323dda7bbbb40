//! The handle to the connection with the control replicas.

use masticfield_core::claim::{Claim, ClaimVerdict};
use masticfield_core::membership::Announcement;
use masticfield_wire::control::EndedClaim;
use snafu::Snafu;
use tokio::sync::{mpsc, oneshot, watch};

use super::LeasedConfig;

/// Sends requests to the control replicas and reads the configuration that they lease.
#[derive(Debug, Clone)]
pub(crate) struct ControlLink {
    tx: mpsc::Sender<ControlRequest>,
    leased: watch::Receiver<LeasedConfig>,
}

/// A request to the control replicas.
#[derive(Debug)]
pub(super) enum ControlRequest {
    /// Claims a key; the sender passes the verdict on.
    Claim(Claim, oneshot::Sender<ClaimVerdict>),
    /// Reports how a claimed request ended.
    EndClaim(EndedClaim),
    /// Reports an upstream that announced itself.
    ReportUpstream(Announcement),
}

/// A claim without a verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub(crate) enum ClaimError {
    /// No verdict arrived; the claim may be durable or not.
    #[snafu(display("the control replicas gave no verdict"))]
    NoVerdict,
    /// The entry is stopping, so the claim was not sent.
    #[snafu(display("the connection to the control replicas is closed"))]
    Closed,
}

impl ControlLink {
    pub(super) const fn new(
        tx: mpsc::Sender<ControlRequest>,
        leased: watch::Receiver<LeasedConfig>,
    ) -> Self {
        Self { tx, leased }
    }

    /// Returns the latest configuration and its lease, which may have run out.
    pub(crate) fn leased_config(&self) -> LeasedConfig {
        self.leased.borrow().clone()
    }

    /// Returns a receiver of each change of the configuration or its lease.
    pub(crate) fn watch_leased_config(&self) -> watch::Receiver<LeasedConfig> {
        self.leased.clone()
    }

    /// Claims a key and waits for the verdict; a granted claim is durable.
    pub(crate) async fn claim(&self, claim: Claim) -> Result<ClaimVerdict, ClaimError> {
        let (tx, verdict) = oneshot::channel();
        self.tx
            .send(ControlRequest::Claim(claim, tx))
            .await
            .ok()
            .ok_or(ClaimError::Closed)?;
        verdict.await.map_err(|_dropped| ClaimError::NoVerdict)
    }

    /// Reports how a claimed request ended.
    pub(crate) async fn end_claim(&self, ended: EndedClaim) {
        // If the report is lost, the claim stays held, which is safe.
        drop(self.tx.send(ControlRequest::EndClaim(ended)).await);
    }

    /// Reports an upstream that announced itself.
    pub(crate) async fn report_upstream(&self, announcement: Announcement) {
        // If the report is lost, the upstream's next announcement repeats it.
        drop(
            self.tx
                .send(ControlRequest::ReportUpstream(announcement))
                .await,
        );
    }
}
