//! Errors of parsing a release note.

use std::str::Utf8Error;

use snafu::Snafu;

use super::{LineIndex, Position, ReleaseNote};

/// Reason why a release note cannot be parsed.
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
    /// The note is not valid UTF-8.
    #[snafu(display("the note is not UTF-8 from byte {offset} on"))]
    NotUtf8 {
        /// Offset of the first invalid byte.
        offset: usize,
        /// The cause.
        source: Utf8Error,
    },
    /// The text is not valid TOML or does not match the format of a note.
    #[snafu(display("line {line}, column {column}: {}", source.message()))]
    Syntax {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error in characters, counted from 1.
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

    /// Converts an error of the TOML parser, locating it in `text`.
    pub(super) fn syntax(text: &str, source: toml::de::Error) -> Self {
        let offset = source.span().map_or(0, |span| span.start);
        let Position { line, column } = LineIndex::new(text).position(offset);
        Self::Syntax {
            line,
            column,
            source: Box::new(source),
        }
    }
}
