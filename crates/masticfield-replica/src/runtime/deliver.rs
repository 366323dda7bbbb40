//! The task that hands committed entries to the application.

use tokio::sync::{mpsc, oneshot};

use crate::{Applied, ProposeError};

/// Entries that wait for the application, at most, beyond those in the log.
const MAX_APPLIED: usize = 1_024;

/// Answer to a proposal.
pub(super) type ProposeReply = oneshot::Sender<Result<u64, ProposeError>>;

/// A committed entry and who waits for it.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) applied: Applied,
    pub(super) reply: Option<ProposeReply>,
}

/// Starts the task; it ends when either side is dropped.
pub(super) fn spawn() -> (mpsc::UnboundedSender<Delivery>, mpsc::Receiver<Applied>) {
    let (tx, mut deliveries) = mpsc::unbounded_channel::<Delivery>();
    let (applied_tx, applied) = mpsc::channel(MAX_APPLIED);
    tokio::spawn(async move {
        while let Some(Delivery { applied, reply }) = deliveries.recv().await {
            let index = applied.index;
            if applied_tx.send(applied).await.is_err() {
                return;
            }
            if let Some(reply) = reply {
                // A proposer that no longer waits does not need the index.
                drop(reply.send(Ok(index)));
            }
        }
    });
    (tx, applied)
}
