//! The latest lines of the history.

use std::collections::VecDeque;
use std::sync::Arc;

use masticfield_core::operator::HistoryRow;
use serde::{Deserialize, Serialize};

use super::Subject;

/// The latest lines of the history.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    lines: VecDeque<Line>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Line {
    row: HistoryRow,
    subjects: Box<[(Subject, Arc<str>)]>,
}

impl History {
    /// Lines that are kept.
    pub const MAX_ROWS: usize = 20_000;

    /// The lines, oldest first.
    pub fn rows(&self) -> impl DoubleEndedIterator<Item = &HistoryRow> + ExactSizeIterator {
        self.lines.iter().map(|line| &line.row)
    }

    /// The lines about one thing, oldest first.
    pub fn rows_about(&self, subject: Subject, name: &str) -> impl Iterator<Item = &HistoryRow> {
        let about = move |line: &&Line| {
            let mut subjects = line.subjects.iter();
            subjects.any(|(kind, other)| *kind == subject && other.as_ref() == name)
        };
        self.lines.iter().filter(about).map(|line| &line.row)
    }

    /// Adds a line and forgets the oldest if there are too many.
    pub(crate) fn record(&mut self, row: HistoryRow, subjects: Vec<(Subject, Arc<str>)>) {
        if self.lines.len() == Self::MAX_ROWS {
            self.lines.pop_front();
        }
        let subjects = subjects.into();
        self.lines.push_back(Line { row, subjects });
    }
}
