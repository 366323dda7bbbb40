//! Data folder of a replica.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use masticfield_core::ids::{Incarnation, ReplicaId};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::atomic_file::{self, SyncFn};
use super::record;
use super::segment::{self, Replayed, Segment};
use crate::error::IoSnafu;
use crate::{HardState, Identity, OpenError, PersistentState, Snapshot, Write};

/// Version of the format of the data folder; another version is not opened.
pub const FORMAT_VERSION: u16 = 1;

/// Size at which a segment is full, so that the next batch goes into a new one, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOCK_FILE: &str = "lock";

/// Open data folder of a replica, locked against other processes.
pub struct Storage {
    dir: PathBuf,
    identity: Identity,
    hard_state: HardState,
    segments: Vec<Segment>,
    /// Last segment, to which records are appended.
    active_file: File,
    active_bytes: u64,
    next_sequence: u64,
    sync: SyncFn,
    /// Holds the lock until the folder is closed.
    _lock: File,
}

/// Content of the identity file, written when the folder is created.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct IdentityFile {
    pub(super) format: u16,
    pub(super) identity: Identity,
}

impl Storage {
    /// Opens a data folder, or creates it, and reads its state.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used, is locked by another process, is corrupt, has another
    /// version of the format, or belongs to another replica.
    pub fn open(
        dir: impl AsRef<Path>,
        id: ReplicaId,
    ) -> Result<(Self, PersistentState), OpenError> {
        Self::open_with(dir, id, Arc::new(File::sync_data))
    }

    /// Opens a data folder whose files are made durable by `sync`.
    ///
    /// # Errors
    ///
    /// As [`Storage::open`].
    pub fn open_with(
        dir: impl AsRef<Path>,
        id: ReplicaId,
        sync: SyncFn,
    ) -> Result<(Self, PersistentState), OpenError> {
        let dir = dir.as_ref();
        fs::create_dir_all(dir).context(IoSnafu { path: dir })?;
        let lock = lock(dir)?;
        let identity = open_or_create_identity(dir, id, &sync)?;
        let (stored, replayed) = read_state(dir)?;
        let opened = Self::open_active(dir, identity, &stored, replayed, sync, lock);
        Ok((opened.context(IoSnafu { path: dir })?, stored))
    }

    fn open_active(
        dir: &Path,
        identity: Identity,
        stored: &PersistentState,
        replayed: Replayed,
        sync: SyncFn,
        lock: File,
    ) -> io::Result<Self> {
        let mut segments = replayed.segments;
        let next_sequence = replayed.next_sequence;
        if segments.is_empty() {
            segments.push(Segment::new(dir, next_sequence));
        }
        let newest = &segments[segments.len() - 1];
        let active_file = open_append(&newest.path)?;
        active_file.set_len(replayed.valid_bytes)?;
        active_file.sync_all()?;
        atomic_file::sync_folder(dir)?;
        let mut storage = Self {
            dir: dir.into(),
            identity,
            hard_state: stored.hard_state,
            segments,
            active_file,
            active_bytes: replayed.valid_bytes,
            next_sequence,
            sync,
            _lock: lock,
        };
        if storage.active_bytes == 0 {
            // Each segment starts with the hard state, so that older segments can be removed.
            storage.write(&[Write::HardState(stored.hard_state)])?;
        }
        Ok(storage)
    }

    /// Identity of the replica that the folder belongs to.
    pub const fn identity(&self) -> Identity {
        self.identity
    }

    /// Makes a batch of writes durable, in their order.
    ///
    /// All writes between two snapshots of a batch share one sync. After a failure the folder must
    /// not be written any more, as it is not known what the disk holds.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full or a sync fails.
    pub fn write(&mut self, writes: &[Write]) -> io::Result<()> {
        let mut buf = Vec::new();
        for write in writes {
            match write {
                Write::Snapshot { snapshot, keep_log } => {
                    self.flush(&mut buf)?;
                    self.install_snapshot(snapshot, *keep_log)?;
                }
                write => self.encode(&mut buf, write)?,
            }
        }
        self.flush(&mut buf)
    }

    fn encode(&mut self, buf: &mut Vec<u8>, write: &Write) -> io::Result<()> {
        record::encode(buf, self.next_sequence, write).map_err(io::Error::other)?;
        self.next_sequence += 1;
        let newest = self.segments.len() - 1;
        match write {
            Write::HardState(hard_state) => self.hard_state = *hard_state,
            Write::Entry(entry) => {
                let highest_index = &mut self.segments[newest].highest_index;
                *highest_index = entry.index.max(*highest_index);
            }
            Write::Snapshot { .. } => {}
        }
        Ok(())
    }

    fn flush(&mut self, buf: &mut Vec<u8>) -> io::Result<()> {
        if buf.is_empty() {
            return Ok(());
        }
        self.active_file.write_all(buf)?;
        (self.sync)(&self.active_file)?;
        self.active_bytes += buf.len() as u64;
        buf.clear();
        if self.active_bytes >= SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Starts a new segment, with a copy of the hard state so that older ones can be removed.
    fn start_segment(&mut self) -> io::Result<()> {
        let segment = Segment::new(&self.dir, self.next_sequence);
        self.active_file = open_append(&segment.path)?;
        self.active_bytes = 0;
        self.segments.push(segment);
        let mut buf = Vec::new();
        self.encode(&mut buf, &Write::HardState(self.hard_state))?;
        self.active_file.write_all(&buf)?;
        self.active_bytes = buf.len() as u64;
        (self.sync)(&self.active_file)?;
        atomic_file::sync_folder(&self.dir)
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot, keep_log: bool) -> io::Result<()> {
        atomic_file::replace(&self.dir, SNAPSHOT_FILE, snapshot, &self.sync)?;
        if !keep_log || self.active_bytes > 0 {
            self.start_segment()?;
        }
        self.remove_obsolete_segments(snapshot.index, keep_log)
    }

    /// Removes segments whose entries the snapshot includes, oldest first.
    fn remove_obsolete_segments(&mut self, index: u64, keep_log: bool) -> io::Result<()> {
        while self.segments.len() > 1 && (!keep_log || self.segments[0].highest_index <= index) {
            fs::remove_file(&self.segments[0].path)?;
            self.segments.remove(0);
            atomic_file::sync_folder(&self.dir)?;
        }
        Ok(())
    }
}

impl fmt::Debug for Storage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Storage")
            .field("dir", &self.dir)
            .field("identity", &self.identity)
            .field("segments", &self.segments)
            .finish_non_exhaustive()
    }
}

/// Reads the snapshot of a folder and replays its log.
pub(super) fn read_state(dir: &Path) -> Result<(PersistentState, Replayed), OpenError> {
    let mut stored = PersistentState::default();
    let path = dir.join(SNAPSHOT_FILE);
    if path.exists() {
        stored.snapshot = atomic_file::read(&path)?;
    }
    let replayed = segment::replay(dir, &mut stored)?;
    Ok((stored, replayed))
}

/// Reads the identity of a folder; `None` if the folder is new.
pub(super) fn read_identity(dir: &Path) -> Result<Option<Identity>, OpenError> {
    let path = dir.join(IDENTITY_FILE);
    if !path.exists() {
        return Ok(None);
    }
    let file: IdentityFile = atomic_file::read(&path)?;
    if file.format != FORMAT_VERSION {
        return Err(OpenError::Format {
            path,
            found: file.format,
            supported: FORMAT_VERSION,
        });
    }
    // The first segment is created before the identity file, so its absence is a loss.
    if segment::any(dir)? {
        Ok(Some(file.identity))
    } else {
        let path = dir.into();
        Err(OpenError::Corrupt { path, offset: 0 })
    }
}

/// Locks a folder for this process until the returned file is closed.
pub(super) fn lock(dir: &Path) -> Result<File, OpenError> {
    let path = dir.join(LOCK_FILE);
    let opened = open_append(&path);
    let file = opened.context(IoSnafu { path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(OpenError::Locked { path: dir.into() }),
        Err(TryLockError::Error(source)) => Err(OpenError::Io { path, source }),
    }
}

fn open_or_create_identity(
    dir: &Path,
    id: ReplicaId,
    sync: &SyncFn,
) -> Result<Identity, OpenError> {
    if let Some(identity) = read_identity(dir)? {
        if identity.id() == id {
            return Ok(identity);
        }
        return Err(OpenError::WrongReplica {
            path: dir.into(),
            found: identity.id(),
            expected: id,
        });
    }
    // A log or snapshot without an identity file is not a new folder.
    let (stored, _) = read_state(dir)?;
    if stored != PersistentState::default() {
        return Err(OpenError::Corrupt {
            path: dir.join(IDENTITY_FILE),
            offset: 0,
        });
    }
    let identity = Identity::new(id, Incarnation::new(rand::random()));
    let content = IdentityFile {
        format: FORMAT_VERSION,
        identity,
    };
    open_append(&Segment::new(dir, 1).path).context(IoSnafu { path: dir })?;
    atomic_file::replace(dir, IDENTITY_FILE, &content, sync).context(IoSnafu { path: dir })?;
    Ok(identity)
}

fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}
