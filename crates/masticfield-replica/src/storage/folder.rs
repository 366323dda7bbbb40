//! The data folder.

use std::fmt;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use masticfield_core::ids::{Incarnation, ReplicaId};
use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::file::{self, SyncFn};
use super::record;
use super::segment::{self, Replayed, Segment};
use crate::error::IoSnafu;
use crate::{HardState, Identity, OpenError, Snapshot, Stored, Write};

/// Version of the format of the data folder.
pub const FORMAT_VERSION: u16 = 1;

/// Size from which the next batch goes into a new segment, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

const IDENTITY: &str = "identity";
const SNAPSHOT: &str = "snapshot";
const LOCK: &str = "lock";

/// The open data folder of a replica.
pub struct Storage {
    dir: PathBuf,
    identity: Identity,
    hard_state: HardState,
    segments: Vec<Segment>,
    active: File,
    active_bytes: u64,
    next: u64,
    sync: SyncFn,
    /// Held until the folder is closed.
    _lock: File,
}

/// First file of a folder.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Header {
    pub(super) format: u16,
    pub(super) identity: Identity,
}

impl Storage {
    /// Opens a data folder, or creates it.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be used, is locked, damaged, of another format, or belongs
    /// to another replica.
    pub fn open(dir: impl AsRef<Path>, id: ReplicaId) -> Result<(Self, Stored), OpenError> {
        Self::open_with(dir, id, Arc::new(File::sync_data))
    }

    /// Opens a data folder and makes writes durable by `sync`.
    ///
    /// # Errors
    ///
    /// As [`Storage::open`].
    pub fn open_with(
        dir: impl AsRef<Path>,
        id: ReplicaId,
        sync: SyncFn,
    ) -> Result<(Self, Stored), OpenError> {
        let dir = dir.as_ref();
        fs::create_dir_all(dir).context(IoSnafu { path: dir })?;
        let lock = lock(dir)?;
        let identity = open_identity(dir, id, &sync)?;
        let (stored, replayed) = read_all(dir)?;
        let opened = Self::open_active(dir, identity, &stored, replayed, sync, lock);
        Ok((opened.context(IoSnafu { path: dir })?, stored))
    }

    fn open_active(
        dir: &Path,
        identity: Identity,
        stored: &Stored,
        replayed: Replayed,
        sync: SyncFn,
        lock: File,
    ) -> io::Result<Self> {
        let mut segments = replayed.segments;
        let next = replayed.next;
        if segments.is_empty() {
            segments.push(Segment::new(dir, next));
        }
        let newest = &segments[segments.len() - 1];
        let active = open_append(&newest.path)?;
        active.set_len(replayed.sound)?;
        active.sync_all()?;
        file::sync_folder(dir)?;
        let mut storage = Self {
            dir: dir.into(),
            identity,
            hard_state: stored.hard_state,
            segments,
            active,
            active_bytes: replayed.sound,
            next,
            sync,
            _lock: lock,
        };
        if storage.active_bytes == 0 {
            // Each segment starts with the hard state, so that older ones can be removed.
            storage.write(&[Write::HardState(stored.hard_state)])?;
        }
        Ok(storage)
    }

    /// Who writes to the folder.
    pub const fn identity(&self) -> Identity {
        self.identity
    }

    /// Makes a batch of writes durable, in their order, with one sync.
    ///
    /// After a failure the folder must not be written any more, since it is not known what the
    /// disk holds.
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
                    self.install(snapshot, *keep_log)?;
                }
                write => self.encode(&mut buf, write)?,
            }
        }
        self.flush(&mut buf)
    }

    fn encode(&mut self, buf: &mut Vec<u8>, write: &Write) -> io::Result<()> {
        record::encode(buf, self.next, write).map_err(io::Error::other)?;
        self.next += 1;
        let newest = self.segments.len() - 1;
        match write {
            Write::HardState(hard_state) => self.hard_state = *hard_state,
            Write::Entry(entry) => {
                let highest = &mut self.segments[newest].highest;
                *highest = entry.index.max(*highest);
            }
            Write::Snapshot { .. } => {}
        }
        Ok(())
    }

    fn flush(&mut self, buf: &mut Vec<u8>) -> io::Result<()> {
        if buf.is_empty() {
            return Ok(());
        }
        self.active.write_all(buf)?;
        (self.sync)(&self.active)?;
        self.active_bytes += buf.len() as u64;
        buf.clear();
        if self.active_bytes >= SEGMENT_BYTES {
            self.start_segment()?;
        }
        Ok(())
    }

    /// Starts a segment that does not need the ones before it for the hard state.
    fn start_segment(&mut self) -> io::Result<()> {
        let segment = Segment::new(&self.dir, self.next);
        self.active = open_append(&segment.path)?;
        self.active_bytes = 0;
        self.segments.push(segment);
        let mut buf = Vec::new();
        self.encode(&mut buf, &Write::HardState(self.hard_state))?;
        self.active.write_all(&buf)?;
        self.active_bytes = buf.len() as u64;
        (self.sync)(&self.active)?;
        file::sync_folder(&self.dir)
    }

    fn install(&mut self, snapshot: &Snapshot, keep_log: bool) -> io::Result<()> {
        file::replace(&self.dir, SNAPSHOT, snapshot, &self.sync)?;
        if !keep_log || self.active_bytes > 0 {
            self.start_segment()?;
        }
        self.compact(snapshot.index, keep_log)
    }

    /// Removes the segments whose entries the snapshot holds, oldest first.
    fn compact(&mut self, index: u64, keep_log: bool) -> io::Result<()> {
        while self.segments.len() > 1 && (!keep_log || self.segments[0].highest <= index) {
            fs::remove_file(&self.segments[0].path)?;
            self.segments.remove(0);
            file::sync_folder(&self.dir)?;
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

/// Reads the snapshot and the log of a folder.
pub(super) fn read_all(dir: &Path) -> Result<(Stored, Replayed), OpenError> {
    let mut stored = Stored::default();
    let path = dir.join(SNAPSHOT);
    if path.exists() {
        stored.snapshot = file::read(&path)?;
    }
    let replayed = segment::replay(dir, &mut stored)?;
    Ok((stored, replayed))
}

/// Reads the identity of a folder, if it has one.
pub(super) fn read_identity(dir: &Path) -> Result<Option<Identity>, OpenError> {
    let path = dir.join(IDENTITY);
    if !path.exists() {
        return Ok(None);
    }
    let header: Header = file::read(&path)?;
    if header.format != FORMAT_VERSION {
        return Err(OpenError::Format {
            path,
            theirs: header.format,
            ours: FORMAT_VERSION,
        });
    }
    // The first segment is created before the identity.
    if segment::any(dir)? {
        Ok(Some(header.identity))
    } else {
        let path = dir.into();
        Err(OpenError::Damaged { path, offset: 0 })
    }
}

/// Locks a folder for this process.
pub(super) fn lock(dir: &Path) -> Result<File, OpenError> {
    let path = dir.join(LOCK);
    let opened = open_append(&path);
    let file = opened.context(IoSnafu { path: &path })?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(OpenError::Locked { path: dir.into() }),
        Err(TryLockError::Error(source)) => Err(OpenError::Io { path, source }),
    }
}

fn open_identity(dir: &Path, id: ReplicaId, sync: &SyncFn) -> Result<Identity, OpenError> {
    if let Some(identity) = read_identity(dir)? {
        if identity.id() == id {
            return Ok(identity);
        }
        return Err(OpenError::OtherReplica {
            path: dir.into(),
            theirs: identity.id(),
            ours: id,
        });
    }
    // A log without an identity is not taken for a new folder.
    let (stored, _) = read_all(dir)?;
    if stored != Stored::default() {
        return Err(OpenError::Damaged {
            path: dir.join(IDENTITY),
            offset: 0,
        });
    }
    let identity = Identity::new(id, Incarnation::new(rand::random()));
    let header = Header {
        format: FORMAT_VERSION,
        identity,
    };
    open_append(&Segment::new(dir, 1).path).context(IoSnafu { path: dir })?;
    file::replace(dir, IDENTITY, &header, sync).context(IoSnafu { path: dir })?;
    Ok(identity)
}

fn open_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().append(true).create(true).open(path)
}
