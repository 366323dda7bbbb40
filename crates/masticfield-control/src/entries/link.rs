//! The leader's end of the connection of an entry.

use masticfield_core::membership::EntryInfo;
use masticfield_wire::control::ControlToEntry;
use tokio::sync::{mpsc, oneshot};

/// A connection over which leases are sent. Dropping it ends the connection.
#[derive(Debug)]
pub(super) struct Link {
    /// The entry.
    pub info: EntryInfo,
    /// Number of the connection, unique in this process.
    pub number: u64,
    /// The version that was sent last.
    pub sent_version: u64,
    tx: mpsc::Sender<ControlToEntry>,
    _alive: oneshot::Sender<()>,
}

impl Link {
    /// Creates the end of a connection that lasts as long as `alive` is not dropped.
    pub(super) const fn new(
        info: EntryInfo,
        number: u64,
        tx: mpsc::Sender<ControlToEntry>,
        alive: oneshot::Sender<()>,
    ) -> Self {
        Self {
            info,
            number,
            sent_version: 0,
            tx,
            _alive: alive,
        }
    }

    /// Queues a message; says whether there was room.
    pub(super) fn send(&self, msg: ControlToEntry) -> bool {
        self.tx.try_send(msg).is_ok()
    }
}
