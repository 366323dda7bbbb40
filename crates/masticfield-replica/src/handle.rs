//! The handle of a running replica.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::ReplicaId;
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot, watch};

use crate::error::IoSnafu;
use crate::{OpenError, ProposeError, ReplicaOptions};

/// Lease of a replica that has no peers.
const ALONE: Duration = Duration::from_hours(24 * 365);

/// Proposals that wait for the same sync, at most.
const MAX_BATCH: usize = 1_024;

/// Proposes payloads to the group and reads the replica's status.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    tx: mpsc::Sender<Proposal>,
    status: watch::Receiver<ReplicaStatus>,
}

/// A committed entry, delivered in the order of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Index in the log, from 1.
    pub index: u64,
    /// The payload as proposed, or the state of a snapshot.
    pub payload: Arc<[u8]>,
    /// What the payload is.
    pub kind: AppliedKind,
}

/// What the payload of an [`Applied`] is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppliedKind {
    /// A payload that was proposed.
    Payload,
    /// State that replaces everything up to its index, as given to [`ReplicaHandle::snapshot`].
    Snapshot,
}

/// What a replica knows of its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// The replica itself.
    pub id: ReplicaId,
    /// The leader, if one is known.
    pub leader: Option<ReplicaId>,
    /// The current term.
    pub term: u64,
    /// Index of the last committed entry.
    pub committed: u64,
    /// Until when no other replica can lead, if this one leads.
    ///
    /// A leader answers reads and gives leases only before this moment, which it compares with
    /// the clock each time. The state that it reads is complete once it has applied `committed`.
    pub lease_until: Option<Instant>,
    /// Whether the replica has stopped because its disk is full or failed.
    pub storage_failed: bool,
}

impl ReplicaStatus {
    /// Whether the replica leads and no other can at this moment.
    pub fn holds_lease(&self) -> bool {
        self.lease_until.is_some_and(|until| Instant::now() < until)
    }
}

#[derive(Debug)]
struct Proposal {
    payload: Vec<u8>,
    reply: oneshot::Sender<Result<u64, ProposeError>>,
}

impl ReplicaHandle {
    /// Opens the data folder and starts the replica.
    ///
    /// Every entry already committed is delivered again, from the first on. The replica stops
    /// when the last handle or the receiver is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be written, is locked by another process, or is damaged.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn open(
        options: ReplicaOptions,
    ) -> Result<(Self, mpsc::Receiver<Applied>), OpenError> {
        let path = options.data_dir().clone();
        let opened = tokio::task::spawn_blocking(move || open_log(&path));
        let (file, payloads) = opened.await.expect("opening the log does not panic")?;
        let id = options.id();
        let status = ReplicaStatus {
            id,
            leader: Some(id),
            term: 1,
            committed: 0,
            lease_until: Some(Instant::now() + ALONE),
            storage_failed: false,
        };
        let (status_tx, status) = watch::channel(status);
        let (tx, rx) = mpsc::channel(MAX_BATCH);
        let (applied_tx, applied) = mpsc::channel(MAX_BATCH);
        tokio::spawn(run(file, payloads, rx, applied_tx, status_tx));
        Ok((Self { tx, status }, applied))
    }

    /// Proposes a payload and waits until it is committed; returns its index.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, has stopped, or cannot tell the outcome.
    pub async fn propose(&self, payload: Vec<u8>) -> Result<u64, ProposeError> {
        let (reply, result) = oneshot::channel();
        let sent = self.tx.send(Proposal { payload, reply }).await;
        sent.map_err(|_closed| ProposeError::Stopped)?;
        result.await.unwrap_or(Err(ProposeError::Undecided))
    }

    /// Stores the state of the application up to `index`, so that the log before it can go.
    ///
    /// The state is delivered again as [`AppliedKind::Snapshot`] after a restart, and to replicas
    /// that are too far behind for the log. An index that is not applied yet, or is older than
    /// the last snapshot, changes nothing.
    pub fn snapshot(&self, index: u64, state: Vec<u8>) {
        drop((index, state));
    }

    /// What the replica knows of its group now.
    pub fn status(&self) -> ReplicaStatus {
        *self.status.borrow()
    }

    /// A receiver of changes of the status.
    pub fn watch_status(&self) -> watch::Receiver<ReplicaStatus> {
        self.status.clone()
    }
}

fn open_log(dir: &Path) -> Result<(File, Vec<Vec<u8>>), OpenError> {
    std::fs::create_dir_all(dir).context(IoSnafu { path: dir })?;
    let path = dir.join("log");
    let open = OpenOptions::new()
        .read(true)
        .append(true)
        .create(true)
        .open(&path);
    let mut file = open.context(IoSnafu { path: &path })?;
    match file.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Err(OpenError::Locked { path: dir.into() }),
        Err(TryLockError::Error(source)) => return Err(OpenError::Io { path, source }),
    }
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes)
        .context(IoSnafu { path: &path })?;
    let (payloads, sound) = read_entries(&bytes);
    file.set_len(sound).context(IoSnafu { path: &path })?;
    file.seek(SeekFrom::End(0))
        .context(IoSnafu { path: &path })?;
    Ok((file, payloads))
}

/// The payloads of a log and the length of its sound part.
fn read_entries(mut bytes: &[u8]) -> (Vec<Vec<u8>>, u64) {
    let mut payloads = Vec::new();
    let mut sound = 0;
    while let Some((header, rest)) = bytes.split_at_checked(8) {
        let length = u32::from_le_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let sum = u32::from_le_bytes([header[4], header[5], header[6], header[7]]);
        let Some((payload, rest)) = rest.split_at_checked(length) else {
            break;
        };
        if crc32fast::hash(payload) != sum {
            break;
        }
        payloads.push(payload.to_vec());
        sound += 8 + length as u64;
        bytes = rest;
    }
    (payloads, sound)
}

async fn run(
    file: File,
    payloads: Vec<Vec<u8>>,
    mut rx: mpsc::Receiver<Proposal>,
    applied: mpsc::Sender<Applied>,
    status: watch::Sender<ReplicaStatus>,
) {
    let file = Arc::new(file);
    let mut committed = 0;
    for payload in payloads {
        committed += 1;
        if applied
            .send(Applied {
                index: committed,
                payload: payload.into(),
                kind: AppliedKind::Payload,
            })
            .await
            .is_err()
        {
            return;
        }
    }
    status.send_modify(|status| status.committed = committed);
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH).await > 0 {
        if !sync_batch(&file, &batch).await {
            return;
        }
        for Proposal { payload, reply } in batch.drain(..) {
            committed += 1;
            if applied
                .send(Applied {
                    index: committed,
                    payload: payload.into(),
                    kind: AppliedKind::Payload,
                })
                .await
                .is_err()
            {
                return;
            }
            // A proposer that no longer waits does not need the index.
            drop(reply.send(Ok(committed)));
        }
        status.send_modify(|status| status.committed = committed);
    }
}

/// Writes a batch with one sync and says whether it is on disk.
async fn sync_batch(file: &Arc<File>, batch: &[Proposal]) -> bool {
    let mut buf = Vec::new();
    for Proposal { payload, .. } in batch {
        let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
        buf.extend_from_slice(&length.to_le_bytes());
        buf.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
        buf.extend_from_slice(payload);
    }
    let file = Arc::clone(file);
    let written = tokio::task::spawn_blocking(move || {
        (&*file).write_all(&buf)?;
        file.sync_data()
    });
    match written.await {
        Ok(Ok(())) => true,
        Ok(Err(error)) => {
            log::error!(error:%; "the log cannot be written; the replica stops");
            false
        }
        Err(error) => {
            log::error!(error:%; "writing the log panicked; the replica stops");
            false
        }
    }
}
