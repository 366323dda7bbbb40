//! The task that writes to the data folder.

use std::io;

use tokio::sync::mpsc;

use crate::Write;
use crate::storage::Storage;

/// The writing side of a data folder that another thread serves.
#[derive(Debug)]
pub(super) struct Disk {
    batches: mpsc::Sender<Vec<Write>>,
    results: mpsc::Receiver<io::Result<()>>,
}

impl Disk {
    /// Starts the thread, which ends when the disk is dropped or a write fails.
    pub(super) fn spawn(mut storage: Storage) -> Self {
        let (batches, mut rx) = mpsc::channel::<Vec<Write>>(1);
        let (tx, results) = mpsc::channel(1);
        tokio::task::spawn_blocking(move || {
            while let Some(writes) = rx.blocking_recv() {
                let result = storage.write(&writes);
                let failed = result.is_err();
                if tx.blocking_send(result).is_err() || failed {
                    return;
                }
            }
        });
        Self { batches, results }
    }

    /// Hands over a batch; there must be none under way.
    pub(super) fn write(&self, writes: Vec<Write>) {
        // A thread that has ended shows in the result.
        drop(self.batches.try_send(writes));
    }

    /// The result of the batch under way.
    pub(super) async fn result(&mut self) -> io::Result<()> {
        let result = self.results.recv().await;
        result.unwrap_or_else(|| Err(io::ErrorKind::BrokenPipe.into()))
    }
}
