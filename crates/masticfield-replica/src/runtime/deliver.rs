//! Task that delivers committed entries to the application.

use tokio::sync::{mpsc, oneshot};

use crate::{Applied, ProposeError};

/// Capacity of the channel to the application; further entries wait in an unbounded queue.
const MAX_APPLIED: usize = 1_024;

/// Reply channel of a proposal.
pub(super) type ProposeReply = oneshot::Sender<Result<u64, ProposeError>>;

/// A committed entry and the reply to send once it is delivered.
#[derive(Debug)]
pub(super) struct Delivery {
    pub(super) applied: Applied,
    pub(super) reply: Option<ProposeReply>,
}

/// Starts the task, which ends when the sender or the receiver is dropped.
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
                // The proposer may have stopped waiting.
                drop(reply.send(Ok(index)));
            }
        }
    });
    (tx, applied)
}
