//! Thread that writes to the data folder.

use std::io;

use snafu::Snafu;
use tokio::sync::mpsc;

use crate::storage::{Storage, StorageSize, is_lack_of_space};
use crate::{HardState, OpenError, PersistentState, Write};

/// Sends writes to a thread that makes them durable.
#[derive(Debug)]
pub(super) struct DiskWriter {
    jobs: mpsc::Sender<Job>,
    results: mpsc::Receiver<Result<Done, DiskError>>,
}

/// Work of the thread.
#[derive(Debug)]
enum Job {
    Write(Vec<Write>),
    Recover(HardState),
}

/// A job that is done.
#[derive(Debug)]
pub(super) enum Done {
    /// The batch is durable; the folder has this size.
    Stored(StorageSize),
    /// The folder can be written again, and holds this state.
    Recovered(PersistentState),
}

/// Error of a job.
#[derive(Debug, Snafu)]
pub(super) enum DiskError {
    /// There is no space; [`DiskWriter::recover`] is to be called until it succeeds.
    #[snafu(display("there is no space to write: {reason}"))]
    NoSpace { reason: String },
    /// A write or sync failed, and it is not known what the disk holds.
    #[snafu(display("{source}"))]
    Write { source: io::Error },
    /// The folder cannot be read back.
    #[snafu(display("{source}"))]
    ReadBack { source: OpenError },
}

impl DiskWriter {
    /// Starts the thread, which ends when the writer is dropped or a job fails other than for lack
    /// of space.
    pub(super) fn spawn(mut storage: Storage) -> Self {
        let (jobs, mut rx) = mpsc::channel::<Job>(1);
        let (tx, results) = mpsc::channel(1);
        tokio::task::spawn_blocking(move || {
            while let Some(job) = rx.blocking_recv() {
                let result = run(&mut storage, job);
                let ends = matches!(
                    result,
                    Err(DiskError::Write { .. } | DiskError::ReadBack { .. })
                );
                if tx.blocking_send(result).is_err() || ends {
                    return;
                }
            }
        });
        Self { jobs, results }
    }

    /// Submits a batch; the result of the previous job must have been received.
    pub(super) fn submit(&self, writes: Vec<Write>) {
        // If the thread has ended, `next_result` returns an error.
        drop(self.jobs.try_send(Job::Write(writes)));
    }

    /// Tries to make the folder usable after a lack of space; the result of the previous job must
    /// have been received.
    pub(super) fn recover(&self, hard_state: HardState) {
        drop(self.jobs.try_send(Job::Recover(hard_state)));
    }

    /// Waits for the result of the submitted job.
    pub(super) async fn next_result(&mut self) -> Result<Done, DiskError> {
        let result = self.results.recv().await;
        result.unwrap_or_else(|| {
            Err(DiskError::Write {
                source: io::ErrorKind::BrokenPipe.into(),
            })
        })
    }
}

fn run(storage: &mut Storage, job: Job) -> Result<Done, DiskError> {
    match job {
        Job::Write(writes) => match storage.write(&writes) {
            Ok(()) => Ok(Done::Stored(storage.size())),
            Err(error) if is_lack_of_space(&error) => Err(DiskError::NoSpace {
                reason: error.to_string(),
            }),
            Err(source) => Err(DiskError::Write { source }),
        },
        Job::Recover(hard_state) => match storage.recover(hard_state) {
            Ok(stored) => Ok(Done::Recovered(stored)),
            Err(error) if error.is_lack_of_space() => Err(DiskError::NoSpace {
                reason: error.to_string(),
            }),
            Err(source) => Err(DiskError::ReadBack { source }),
        },
    }
}
