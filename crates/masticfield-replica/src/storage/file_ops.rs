//! Writes and syncs of files, which tests replace to let a disk fail.

use std::fmt;
use std::fs::File;
use std::io::{self, Write as _};
use std::sync::Arc;

/// Makes the content of a file durable; [`File::sync_data`] unless a test sets another function.
pub type SyncFn = Arc<dyn Fn(&File) -> io::Result<()> + Send + Sync>;

/// Appends all bytes to a file; `File::write_all` unless a test sets another function.
///
/// After a failure any part of the bytes may have been written.
pub type WriteFn = Arc<dyn Fn(&File, &[u8]) -> io::Result<()> + Send + Sync>;

/// How the files of a data folder are written and synced.
#[derive(Clone)]
pub struct FileOps {
    write: WriteFn,
    sync: SyncFn,
}

impl FileOps {
    /// Replaces the function that writes.
    #[must_use]
    pub fn with_write(mut self, write: WriteFn) -> Self {
        self.write = write;
        self
    }

    /// Replaces the function that makes files durable.
    #[must_use]
    pub fn with_sync(mut self, sync: SyncFn) -> Self {
        self.sync = sync;
        self
    }

    pub(super) fn write_all(&self, file: &File, bytes: &[u8]) -> io::Result<()> {
        (self.write)(file, bytes)
    }

    pub(super) fn sync(&self, file: &File) -> io::Result<()> {
        (self.sync)(file)
    }
}

impl Default for FileOps {
    fn default() -> Self {
        Self {
            write: Arc::new(|mut file: &File, bytes: &[u8]| file.write_all(bytes)),
            sync: Arc::new(File::sync_data),
        }
    }
}

impl fmt::Debug for FileOps {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("FileOps").finish_non_exhaustive()
    }
}

/// Whether an error means that there is no space for a write, which may pass without a repair.
///
/// This is a full file system, an exhausted quota, or a limit of the size of files. Any other error
/// leaves it unknown whether the disk still works.
pub fn is_lack_of_space(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}
