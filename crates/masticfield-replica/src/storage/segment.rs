//! Segments of the log.

use std::fs;
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use super::record::{self, Parsed};
use crate::error::IoSnafu;
use crate::{OpenError, Stored, Write};

/// A segment and what is known of it.
#[derive(Debug, Clone)]
pub(super) struct Segment {
    /// Sequence number of its first record.
    pub(super) first: u64,
    /// Path of the file.
    pub(super) path: PathBuf,
    /// Highest index of an entry in it, 0 if it holds none.
    pub(super) highest: u64,
}

/// What reading all segments gave.
#[derive(Debug)]
pub(super) struct Replayed {
    /// The segments, oldest first.
    pub(super) segments: Vec<Segment>,
    /// Sequence number of the next record.
    pub(super) next: u64,
    /// Length of the sound part of the last segment, in bytes.
    pub(super) sound: u64,
    /// Bytes after the sound part of the last segment.
    pub(super) torn: u64,
}

impl Segment {
    /// Name prefix of segment files.
    const PREFIX: &'static str = "log-";

    /// A new segment whose first record has the number `first`.
    pub(super) fn new(dir: &Path, first: u64) -> Self {
        let path = dir.join(format!("{}{first:016x}", Self::PREFIX));
        Self {
            first,
            path,
            highest: 0,
        }
    }

    fn from_name(dir: &Path, name: &str) -> Option<Self> {
        let digits = name.strip_prefix(Self::PREFIX)?;
        u64::from_str_radix(digits, 16)
            .ok()
            .map(|first| Self::new(dir, first))
    }
}

/// Reads every segment of a folder into `stored`.
pub(super) fn replay(dir: &Path, stored: &mut Stored) -> Result<Replayed, OpenError> {
    let mut segments = list(dir)?;
    let mut replayed = Replayed {
        segments: Vec::new(),
        next: segments.first().map_or(1, |segment| segment.first),
        sound: 0,
        torn: 0,
    };
    let count = segments.len();
    for (position, segment) in segments.iter_mut().enumerate() {
        let last = position + 1 == count;
        replay_segment(segment, last, stored, &mut replayed)?;
    }
    replayed.segments = segments;
    Ok(replayed)
}

/// Whether a folder holds any segment.
pub(super) fn any(dir: &Path) -> Result<bool, OpenError> {
    Ok(!list(dir)?.is_empty())
}

fn list(dir: &Path) -> Result<Vec<Segment>, OpenError> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(dir).context(IoSnafu { path: dir })? {
        let name = entry.context(IoSnafu { path: dir })?.file_name();
        let segment = name.to_str().and_then(|name| Segment::from_name(dir, name));
        segments.extend(segment);
    }
    segments.sort_by_key(|segment| segment.first);
    Ok(segments)
}

fn replay_segment(
    segment: &mut Segment,
    last: bool,
    stored: &mut Stored,
    replayed: &mut Replayed,
) -> Result<(), OpenError> {
    let path = &segment.path;
    let bytes = fs::read(path).context(IoSnafu { path })?;
    let damaged = |offset: usize| OpenError::Damaged {
        path: path.clone(),
        offset: offset as u64,
    };
    if segment.first != replayed.next {
        return Err(damaged(0));
    }
    let mut offset = 0;
    loop {
        match record::parse(&bytes[offset..], replayed.next) {
            Parsed::End => break,
            Parsed::Record(write, length) => {
                if let Write::Entry(entry) = &*write {
                    segment.highest = segment.highest.max(entry.index);
                }
                if !stored.replay(*write) {
                    return Err(damaged(offset));
                }
                replayed.next += 1;
                offset += length;
            }
            Parsed::Unsound if last && !record::any_after(&bytes[offset..], replayed.next) => {
                replayed.torn = (bytes.len() - offset) as u64;
                break;
            }
            Parsed::Unsound => return Err(damaged(offset)),
        }
    }
    replayed.sound = offset as u64;
    Ok(())
}
