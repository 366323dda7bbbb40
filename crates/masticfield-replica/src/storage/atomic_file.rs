//! Files that are replaced atomically and carry a checksum.

use std::fs::{self, File};
use std::io;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use super::file_ops::FileOps;
use crate::OpenError;
use crate::error::IoSnafu;

/// Size of the checksum before the body, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Extension of the temporary files, whose content is not valid yet.
pub(super) const PARTIAL_EXTENSION: &str = "partial";

/// Writes a value to a temporary file, syncs it, renames it to `name`, and syncs the folder.
///
/// Returns the size of the file in bytes.
pub(super) fn replace<T: Serialize>(
    dir: &Path,
    name: &str,
    value: &T,
    files: &FileOps,
) -> io::Result<u64> {
    let body = postcard::to_stdvec(value).map_err(io::Error::other)?;
    let partial = dir.join(format!("{name}.{PARTIAL_EXTENSION}"));
    let file = File::create(&partial)?;
    files.write_all(&file, &crc32fast::hash(&body).to_le_bytes())?;
    files.write_all(&file, &body)?;
    files.sync(&file)?;
    fs::rename(&partial, dir.join(name))?;
    sync_folder(dir)?;
    Ok((CHECKSUM_BYTES + body.len()) as u64)
}

/// Removes the temporary files of a folder, which a crash or a full disk has left.
pub(super) fn remove_partial_files(dir: &Path) -> io::Result<()> {
    for entry in fs::read_dir(dir)? {
        let path = entry?.path();
        if path.extension().is_some_and(|end| end == PARTIAL_EXTENSION) {
            fs::remove_file(path)?;
        }
    }
    Ok(())
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
