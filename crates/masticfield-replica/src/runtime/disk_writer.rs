//! Thread that writes to the data folder.

use std::io;

use tokio::sync::mpsc;

use crate::Write;
use crate::storage::Storage;

/// Sends batches of writes to a thread that makes them durable.
#[derive(Debug)]
pub(super) struct DiskWriter {
    batches: mpsc::Sender<Vec<Write>>,
    results: mpsc::Receiver<io::Result<()>>,
}

impl DiskWriter {
    /// Starts the thread, which ends when the writer is dropped or a write fails.
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

    /// Submits a batch; the result of the previous one must have been received.
    pub(super) fn submit(&self, writes: Vec<Write>) {
        // If the thread has ended, `next_result` returns an error.
        drop(self.batches.try_send(writes));
    }

    /// Waits for the result of the submitted batch.
    pub(super) async fn next_result(&mut self) -> io::Result<()> {
        let result = self.results.recv().await;
        result.unwrap_or_else(|| Err(io::ErrorKind::BrokenPipe.into()))
    }
}
