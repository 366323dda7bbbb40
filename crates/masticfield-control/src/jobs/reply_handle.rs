//! Where the reply to a request goes.

use masticfield_jobs::leader::Reply;
use masticfield_jobs::protocol::ToEntry;
use tokio::sync::{mpsc, oneshot};

/// The recipient of the reply to one request.
#[derive(Debug)]
pub(super) enum ReplyHandle {
    /// A task of this process.
    Local(oneshot::Sender<Reply>),
    /// An entry.
    Entry {
        /// Messages to the entry.
        tx: mpsc::UnboundedSender<ToEntry>,
        /// Number of the request, unique on its connection.
        number: u64,
    },
}

impl ReplyHandle {
    /// Sends the reply; a recipient that has gone away is ignored.
    pub(super) fn send(self, reply: Reply) {
        match self {
            Self::Local(tx) => drop(tx.send(reply)),
            Self::Entry { tx, number } => drop(tx.send(ToEntry::Reply { number, reply })),
        }
    }
}
