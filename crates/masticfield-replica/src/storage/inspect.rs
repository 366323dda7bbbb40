//! Inspection of a data folder that no replica has open.

use std::fs;
use std::path::Path;

use snafu::ResultExt;

use super::folder::{lock, read_identity, read_state};
use crate::error::IoSnafu;
use crate::{EntryBody, HardState, Identity, Membership, OpenError};

/// Content of a valid data folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inspection {
    /// Identity of the replica that the folder belongs to.
    pub identity: Identity,
    /// Term and vote.
    pub hard_state: HardState,
    /// Index of the last entry that the snapshot includes; 0 if there is no snapshot.
    pub snapshot_index: u64,
    /// Size of the application's state in the snapshot, in bytes.
    pub snapshot_bytes: u64,
    /// Index of the last entry; that of the snapshot if no entry follows it.
    pub last_index: u64,
    /// Members of the group by the last entry that changes them, committed or not.
    pub members: Membership,
    /// Number of segments of the log.
    pub segments: u64,
    /// Size of all files in the folder, in bytes.
    pub bytes: u64,
    /// Bytes of an incomplete record at the end of the log, which opening the folder removes.
    pub truncated_bytes: u64,
}

/// Reads a data folder without changing its state.
///
/// # Errors
///
/// Fails if the folder is no data folder, is locked by a running replica, is corrupt, or has
/// another version of the format.
pub fn inspect(dir: impl AsRef<Path>) -> Result<Inspection, OpenError> {
    let dir = dir.as_ref();
    fs::read_dir(dir).context(IoSnafu { path: dir })?;
    let identity = read_identity(dir)?.ok_or_else(|| OpenError::Empty { path: dir.into() })?;
    let _lock = lock(dir)?;
    let (stored, replayed) = read_state(dir)?;
    let latest_members = stored
        .entries
        .iter()
        .rev()
        .find_map(|entry| match &entry.body {
            EntryBody::Members(members) => Some(members.clone()),
            _ => None,
        });
    Ok(Inspection {
        identity,
        hard_state: stored.hard_state,
        snapshot_index: stored.snapshot.index,
        snapshot_bytes: stored.snapshot.data.len() as u64,
        last_index: stored.last_index(),
        members: latest_members.unwrap_or(stored.snapshot.members),
        segments: replayed.segments.len() as u64,
        bytes: folder_bytes(dir)?,
        truncated_bytes: replayed.truncated_bytes,
    })
}

fn folder_bytes(dir: &Path) -> Result<u64, OpenError> {
    let mut bytes = 0;
    for entry in fs::read_dir(dir).context(IoSnafu { path: dir })? {
        let metadata = entry.and_then(|entry| entry.metadata());
        bytes += metadata.context(IoSnafu { path: dir })?.len();
    }
    Ok(bytes)
}
