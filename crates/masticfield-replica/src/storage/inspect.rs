//! Inspection of a data folder that no replica has open.

use std::fs;
use std::path::Path;

use snafu::ResultExt;

use super::folder::{lock, read_all, read_identity};
use crate::error::IoSnafu;
use crate::{EntryBody, HardState, Identity, Membership, OpenError};

/// What a sound data folder holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inspection {
    /// Who writes to the folder.
    pub identity: Identity,
    /// Term and vote.
    pub hard_state: HardState,
    /// Index of the last entry that the snapshot holds, 0 if there is no snapshot.
    pub snapshot_index: u64,
    /// Size of the snapshot of the application, in bytes.
    pub snapshot_bytes: u64,
    /// Index of the last entry of the log.
    pub last_index: u64,
    /// Members of the group by the last entry that names them.
    pub members: Membership,
    /// Segments of the log.
    pub segments: u64,
    /// Size of all files, in bytes.
    pub bytes: u64,
    /// Bytes of a torn tail, which opening the folder would cut.
    pub truncated_bytes: u64,
}

/// Reads a folder without changing it and says what it holds.
///
/// # Errors
///
/// Fails if the folder is empty, locked by a running replica, damaged, or of another format.
pub fn inspect(dir: impl AsRef<Path>) -> Result<Inspection, OpenError> {
    let dir = dir.as_ref();
    fs::read_dir(dir).context(IoSnafu { path: dir })?;
    let identity = read_identity(dir)?.ok_or_else(|| OpenError::Empty { path: dir.into() })?;
    let _lock = lock(dir)?;
    let (stored, replayed) = read_all(dir)?;
    let named = stored
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
        members: named.unwrap_or(stored.snapshot.members),
        segments: replayed.segments.len() as u64,
        bytes: folder_bytes(dir)?,
        truncated_bytes: replayed.torn,
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
