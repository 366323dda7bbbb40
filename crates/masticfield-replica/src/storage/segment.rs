//! Segments, the files that make up the log of a data folder.

use std::fs;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use super::record::{self, Parsed};
use crate::error::IoSnafu;
use crate::{OpenError, PersistentState, Write};

/// A segment of the log.
#[derive(Debug, Clone)]
pub(super) struct Segment {
    /// Sequence number of the first record, from which the file name is derived.
    pub(super) first_sequence: u64,
    /// Path of the file.
    pub(super) path: PathBuf,
    /// Highest index of an entry in the segment; 0 if it holds none.
    pub(super) highest_index: u64,
    /// Length of the valid part of the file, in bytes; for the last segment see
    /// [`Replayed::valid_bytes`].
    pub(super) bytes: u64,
}

/// Result of replaying all segments.
#[derive(Debug)]
pub(super) struct Replayed {
    /// Segments, oldest first.
    pub(super) segments: Vec<Segment>,
    /// Sequence number of the next record to write.
    pub(super) next_sequence: u64,
    /// Length of the valid part of the last segment, in bytes.
    pub(super) valid_bytes: u64,
    /// Bytes of an incomplete record after the valid part of the last segment.
    pub(super) truncated_bytes: u64,
}

impl Segment {
    /// Prefix of the names of segment files.
    const PREFIX: &'static str = "log-";

    /// Describes a new segment whose first record has the given sequence number.
    pub(super) fn new(dir: &Path, first_sequence: u64) -> Self {
        let path = dir.join(format!("{}{first_sequence:016x}", Self::PREFIX));
        Self {
            first_sequence,
            path,
            highest_index: 0,
            bytes: 0,
        }
    }

    fn from_name(dir: &Path, name: &str) -> Option<Self> {
        let digits = name.strip_prefix(Self::PREFIX)?;
        u64::from_str_radix(digits, 16)
            .ok()
            .map(|first_sequence| Self::new(dir, first_sequence))
    }
}

/// Replays every segment of a folder into `stored`.
pub(super) fn replay(dir: &Path, stored: &mut PersistentState) -> Result<Replayed, OpenError> {
    let mut segments = list(dir)?;
    let mut replayed = Replayed {
        segments: Vec::new(),
        next_sequence: segments.first().map_or(1, |segment| segment.first_sequence),
        valid_bytes: 0,
        truncated_bytes: 0,
    };
    let count = segments.len();
    for (position, segment) in segments.iter_mut().enumerate() {
        let is_last = position + 1 == count;
        replay_segment(segment, is_last, stored, &mut replayed)?;
    }
    replayed.segments = segments;
    Ok(replayed)
}

/// Whether a folder holds at least one segment.
pub(super) fn any(dir: &Path) -> Result<bool, OpenError> {
    Ok(!list(dir)?.is_empty())
}

/// Segments of a folder by their file names, oldest first.
pub(super) fn list(dir: &Path) -> Result<Vec<Segment>, OpenError> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(dir).context(IoSnafu { path: dir })? {
        let name = entry.context(IoSnafu { path: dir })?.file_name();
        let segment = name.to_str().and_then(|name| Segment::from_name(dir, name));
        segments.extend(segment);
    }
    segments.sort_by_key(|segment| segment.first_sequence);
    Ok(segments)
}

/// Replays one segment.
///
/// Invalid bytes are accepted at the end of the last segment only, where a crash can leave an
/// incomplete record. A valid record after them shows that they are damage instead.
fn replay_segment(
    segment: &mut Segment,
    is_last: bool,
    stored: &mut PersistentState,
    replayed: &mut Replayed,
) -> Result<(), OpenError> {
    let path = &segment.path;
    let bytes = fs::read(path).context(IoSnafu { path })?;
    let corrupt = |offset: usize| OpenError::Corrupt {
        path: path.clone(),
        offset: offset as u64,
    };
    if segment.first_sequence != replayed.next_sequence {
        return Err(corrupt(0));
    }
    let mut offset = 0;
    loop {
        match record::parse(&bytes[offset..], replayed.next_sequence) {
            Parsed::End => break,
            Parsed::Record(write, length) => {
                if let Write::Entry(entry) = &*write {
                    segment.highest_index = segment.highest_index.max(entry.index);
                }
                if !stored.replay(*write) {
                    return Err(corrupt(offset));
                }
                replayed.next_sequence += 1;
                offset += length;
            }
            Parsed::Invalid
                if is_last
                    && !record::contains_later_record(&bytes[offset..], replayed.next_sequence) =>
            {
                replayed.truncated_bytes = (bytes.len() - offset) as u64;
                break;
            }
            Parsed::Invalid => return Err(corrupt(offset)),
        }
    }
    segment.bytes = offset as u64;
    replayed.valid_bytes = segment.bytes;
    Ok(())
}
