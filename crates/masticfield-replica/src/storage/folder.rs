//! Data folder of a replica.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::path::{Path, PathBuf};

use masticfield_core::ids::{Incarnation, ReplicaId};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::atomic_file::{self, PARTIAL_EXTENSION};
use super::file_ops::{FileOps, SyncFn};
use super::record;
use super::segment::{self, Replayed, Segment};
use crate::error::IoSnafu;
use crate::{HardState, Identity, OpenError, PersistentState, Snapshot, Write};

/// Version of the format of the data folder; another version is not opened.
pub const FORMAT_VERSION: u16 = 1;

/// Size at which a segment is full, so that the next batch goes into a new one, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Space that must be free before a folder without space is written again, in bytes.
///
/// It holds the largest batch of entries that a leader sends in one message, so that the replica
/// does not take part for a single record and then lack space again.
const REQUIRED_SPACE: usize = 256 * 1024;

/// Temporary file that shows whether there is space.
const PROBE_FILE: &str = "probe";

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
    snapshot_bytes: u64,
    files: FileOps,
    /// Whether a write has failed, so that the folder may hold a part of it.
    failed: bool,
    /// Holds the lock until the folder is closed.
    _lock: File,
}

/// Size of a data folder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StorageSize {
    /// Size of the log and the snapshot, in bytes.
    pub total_bytes: u64,
    /// Size of the snapshot, in bytes; 0 without one. Replacing it needs about as much space.
    pub snapshot_bytes: u64,
}

impl StorageSize {
    /// Whether a snapshot must be taken now, before a disk of `disk_bytes` has no space for it.
    ///
    /// The snapshot is written beside the previous one, while two segments may fill up.
    pub const fn needs_compaction(self, disk_bytes: u64) -> bool {
        let needed = self.total_bytes + self.snapshot_bytes + 2 * SEGMENT_BYTES;
        needed > disk_bytes
    }
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
        Self::open_with_files(dir, id, FileOps::default())
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
        Self::open_with_files(dir, id, FileOps::default().with_sync(sync))
    }

    /// Opens a data folder whose files are written and made durable by `files`.
    ///
    /// # Errors
    ///
    /// As [`Storage::open`].
    pub fn open_with_files(
        dir: impl AsRef<Path>,
        id: ReplicaId,
        files: FileOps,
    ) -> Result<(Self, PersistentState), OpenError> {
        let dir = dir.as_ref();
        fs::create_dir_all(dir).context(IoSnafu { path: dir })?;
        let lock = lock(dir)?;
        let identity = open_or_create_identity(dir, id, &files)?;
        let (stored, replayed) = read_state(dir)?;
        let opened = Self::open_active(dir, identity, &stored, replayed, files, lock);
        Ok((opened.context(IoSnafu { path: dir })?, stored))
    }

    fn open_active(
        dir: &Path,
        identity: Identity,
        stored: &PersistentState,
        replayed: Replayed,
        files: FileOps,
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
        atomic_file::remove_partial_files(dir)?;
        atomic_file::sync_folder(dir)?;
        let mut storage = Self {
            dir: dir.into(),
            identity,
            hard_state: stored.hard_state,
            segments,
            active_file,
            active_bytes: replayed.valid_bytes,
            next_sequence,
            snapshot_bytes: snapshot_bytes(dir)?,
            files,
            failed: false,
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

    /// Size of the folder.
    pub fn size(&self) -> StorageSize {
        let closed = &self.segments[..self.segments.len() - 1];
        let closed_bytes: u64 = closed.iter().map(|segment| segment.bytes).sum();
        StorageSize {
            total_bytes: closed_bytes + self.active_bytes + self.snapshot_bytes,
            snapshot_bytes: self.snapshot_bytes,
        }
    }

    /// Makes a batch of writes durable, in their order.
    ///
    /// All writes between two snapshots of a batch share one sync. After a failure, any number of
    /// the writes may be durable, always from the first on. If the failure [is a lack of
    /// space](super::is_lack_of_space), [`Storage::recover`] makes the folder usable again. After any other
    /// one it must not be written any more, as it is not known what the disk holds.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full or a sync fails, and after an earlier failure.
    pub fn write(&mut self, writes: &[Write]) -> io::Result<()> {
        if self.failed {
            return Err(io::Error::other("an earlier write has failed"));
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }

    /// Makes the folder usable after a write that failed for lack of space.
    ///
    /// Removes what was written after the last successful sync, reads the state back and stores
    /// `hard_state`, which must be the latest one of the replica. If there is still no space, the
    /// call can be repeated.
    ///
    /// # Errors
    ///
    /// Fails if there is still no space, which [`OpenError::is_lack_of_space`] tells, and if the
    /// folder cannot be read.
    pub fn recover(&mut self, hard_state: HardState) -> Result<PersistentState, OpenError> {
        let dir = self.dir.clone();
        let path = dir.as_path();
        self.remove_unsynced().context(IoSnafu { path })?;
        self.probe_space().context(IoSnafu { path })?;
        let (mut stored, replayed) = read_state(path)?;
        if replayed.valid_bytes != self.active_bytes || replayed.truncated_bytes > 0 {
            return Err(OpenError::Corrupt {
                path: path.into(),
                offset: replayed.valid_bytes,
            });
        }
        self.segments = replayed.segments;
        self.next_sequence = replayed.next_sequence;
        self.hard_state = stored.hard_state;
        self.snapshot_bytes = snapshot_bytes(path).context(IoSnafu { path })?;
        self.failed = false;
        let written = self
            .remove_obsolete_segments(stored.snapshot.index, true)
            .and_then(|()| self.write(&[Write::HardState(hard_state)]));
        self.failed |= written.is_err();
        written.context(IoSnafu { path })?;
        stored.hard_state = hard_state;
        Ok(stored)
    }

    /// Removes everything that was written after the last successful sync.
    fn remove_unsynced(&mut self) -> io::Result<()> {
        // Records that are complete but were not synced are removed as well: a second sync can
        // succeed without having written them.
        self.active_file.set_len(self.active_bytes)?;
        self.active_file.sync_all()?;
        let newest = self.segments[self.segments.len() - 1].first_sequence;
        let listed = segment::list(&self.dir).map_err(io::Error::other)?;
        for segment in listed {
            if segment.first_sequence > newest {
                fs::remove_file(&segment.path)?;
            }
        }
        atomic_file::remove_partial_files(&self.dir)?;
        atomic_file::sync_folder(&self.dir)
    }

    /// Fails unless [`REQUIRED_SPACE`] can be written.
    fn probe_space(&self) -> io::Result<()> {
        let path = self.dir.join(format!("{PROBE_FILE}.{PARTIAL_EXTENSION}"));
        let file = File::create(&path)?;
        let written = self
            .files
            .write_all(&file, &vec![0; REQUIRED_SPACE])
            .and_then(|()| self.files.sync(&file));
        fs::remove_file(&path)?;
        written
    }

    fn write_all(&mut self, writes: &[Write]) -> io::Result<()> {
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
        self.files.write_all(&self.active_file, buf)?;
        self.files.sync(&self.active_file)?;
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
        let file = open_append(&segment.path)?;
        let mut buf = Vec::new();
        let hard_state = Write::HardState(self.hard_state);
        record::encode(&mut buf, self.next_sequence, &hard_state).map_err(io::Error::other)?;
        self.files.write_all(&file, &buf)?;
        self.files.sync(&file)?;
        atomic_file::sync_folder(&self.dir)?;
        // A segment that lacks its first record must not become the active one.
        self.next_sequence += 1;
        let newest = self.segments.len() - 1;
        self.segments[newest].bytes = self.active_bytes;
        self.active_file = file;
        self.active_bytes = buf.len() as u64;
        self.segments.push(segment);
        Ok(())
    }

    fn install_snapshot(&mut self, snapshot: &Snapshot, keep_log: bool) -> io::Result<()> {
        self.snapshot_bytes =
            atomic_file::replace(&self.dir, SNAPSHOT_FILE, snapshot, &self.files)?;
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
    files: &FileOps,
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
    atomic_file::replace(dir, IDENTITY_FILE, &content, files).context(IoSnafu { path: dir })?;
    Ok(identity)
}

/// Size of the snapshot file, in bytes; 0 without one.
fn snapshot_bytes(dir: &Path) -> io::Result<u64> {
    match fs::metadata(dir.join(SNAPSHOT_FILE)) {
        Ok(metadata) => Ok(metadata.len()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(0),
        Err(error) => Err(error),
    }
}

fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}
