//! Files that are replaced atomically and carry a checksum.

use std::fs::{self, File};
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::OpenError;
use crate::error::IoSnafu;

/// Makes the content of a file durable; [`File::sync_data`] unless a test sets another function.
pub type SyncFn = Arc<dyn Fn(&File) -> io::Result<()> + Send + Sync>;

/// Size of the checksum before the body, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Writes a value to a temporary file, syncs it, renames it to `name`, and syncs the folder.
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

/// Makes the creation, renaming and removal of files in a folder durable.
pub(super) fn sync_folder(dir: &Path) -> io::Result<()> {
    File::open(dir)?.sync_all()
}

/// Reads a value that [`replace`] wrote, and verifies its checksum.
pub(super) fn read<T: DeserializeOwned>(path: &Path) -> Result<T, OpenError> {
    let bytes = fs::read(path).context(IoSnafu { path })?;
    let corrupt = || OpenError::Corrupt {
        path: path.into(),
        offset: 0,
    };
    let (checksum, body) = bytes
        .split_first_chunk::<CHECKSUM_BYTES>()
        .ok_or_else(corrupt)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return Err(corrupt());
    }
    postcard::from_bytes(body).map_err(|_undecodable| corrupt())
}
