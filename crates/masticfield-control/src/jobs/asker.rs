//! Who waits for an answer.

use masticfield_jobs::leader::Reply;
use masticfield_jobs::protocol::ToEntry;
use tokio::sync::{mpsc, oneshot};

/// Who waits for an answer.
#[derive(Debug)]
pub(super) enum Asker {
    /// A part of this process.
    Here(oneshot::Sender<Reply>),
    /// An entry.
    Entry {
        /// Messages to the entry.
        tx: mpsc::UnboundedSender<ToEntry>,
        /// Number of the question.
        number: u64,
    },
}

impl Asker {
    /// Answers; whoever has gone away needs no answer.
    pub(super) fn answer(self, reply: Reply) {
        match self {
            Self::Here(tx) => drop(tx.send(reply)),
            Self::Entry { tx, number } => drop(tx.send(ToEntry::Reply { number, reply })),
        }
    }
}
