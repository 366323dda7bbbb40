//! Errors of reading a release note.

use std::str::Utf8Error;

use snafu::Snafu;

use super::ReleaseNote;

/// A release note could not be read.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum ParseNoteError {
    /// The note is larger than the limit.
    #[snafu(display("the note has {bytes} bytes; at most {limit} are accepted"))]
    TooLarge {
        /// Size of the note in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The note is not UTF-8.
    #[snafu(display("the note is not UTF-8 from byte {offset} on"))]
    NotUtf8 {
        /// Offset of the first bad byte.
        offset: usize,
        /// The cause.
        source: Utf8Error,
    },
    /// The text is no note.
    #[snafu(display("line {line}, column {column}: {}", source.message()))]
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// Column, counted from 1 in characters.
        column: usize,
        /// The cause.
        source: Box<toml::de::Error>,
    },
}

impl ParseNoteError {
    pub(super) fn check_size(bytes: usize) -> Result<(), Self> {
        let limit = ReleaseNote::MAX_BYTES;
        if bytes > limit {
            TooLargeSnafu { bytes, limit }.fail()
        } else {
            Ok(())
        }
    }

    pub(super) fn from_utf8(source: Utf8Error) -> Self {
        Self::NotUtf8 {
            offset: source.valid_up_to(),
            source,
        }
    }

    pub(super) fn at(text: &str, source: toml::de::Error) -> Self {
        let offset = source.span().map_or(0, |span| span.start.min(text.len()));
        let before = &text[..text.floor_char_boundary(offset)];
        let line = before.matches('\n').count() + 1;
        let column = before
            .rsplit('\n')
            .next()
            .unwrap_or_default()
            .chars()
            .count()
            + 1;
        Self::Syntax {
            line,
            column,
            source: Box::new(source),
        }
    }
}
