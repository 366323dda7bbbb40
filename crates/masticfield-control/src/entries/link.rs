//! The sending half of the connection of an entry.

use masticfield_core::membership::EntryInfo;
use masticfield_wire::control::ControlToEntry;
use tokio::sync::{mpsc, oneshot};

/// The sending half of the connection of an entry; dropping it closes the connection.
#[derive(Debug)]
pub(super) struct Link {
    /// The entry.
    pub info: EntryInfo,
    /// Number of the connection, unique in this process.
    pub number: u64,
    /// Version of the configuration that was sent last; 0 if none was sent.
    pub sent_version: u64,
    tx: mpsc::Sender<ControlToEntry>,
    _open: oneshot::Sender<()>,
}

impl Link {
    /// Creates the sending half; the connection is closed when `open` is dropped.
    pub(super) const fn new(
        info: EntryInfo,
        number: u64,
        tx: mpsc::Sender<ControlToEntry>,
        open: oneshot::Sender<()>,
    ) -> Self {
        Self {
            info,
            number,
            sent_version: 0,
            tx,
            _open: open,
        }
    }

    /// Queues a message; returns whether the queue had free space.
    pub(super) fn send(&self, msg: ControlToEntry) -> bool {
        self.tx.try_send(msg).is_ok()
    }
}
