//! Files that become durable as a whole.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::OpenError;
use crate::error::IoSnafu;

/// Makes what was written to a file durable.
pub type SyncFn = Arc<dyn Fn(&File) -> io::Result<()> + Send + Sync>;

/// Bytes of the checksum before the body.
const CHECKSUM_BYTES: usize = 4;

/// Writes a value to a temporary file, syncs it, renames it, and syncs the folder.
pub(super) fn replace<T: Serialize>(
    dir: &Path,
    name: &str,
    value: &T,
    sync: &SyncFn,
) -> io::Result<()> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let partial = dir.join(format!("{name}.partial"));
    let mut file = File::create(&partial)?;
    file.write_all(&crc32fast::hash(&body).to_le_bytes())?;
    file.write_all(&body)?;
    sync(&file)?;
    fs::rename(&partial, dir.join(name))?;
    sync_folder(dir)
}

/// Makes the names in a folder durable.
pub(super) fn sync_folder(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

/// Reads a value that [`replace`] wrote.
pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, OpenError> {
    let bytes = fs::read(path).context(IoSnafu { path })?;
    let damaged = || OpenError::Damaged {
        path: path.into(),
        offset: 0,
    };
    let (sum, body) = bytes
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or_else(damaged)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*sum) {
        return Err(damaged());
    }
    postcard::from_bytes(body).map_err(|_unreadable| damaged())
}
