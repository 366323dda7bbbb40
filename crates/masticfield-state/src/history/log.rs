//! A bounded log of history rows.

use std::collections::VecDeque;
use std::sync::Arc;

use masticfield_core::operator::HistoryRow;
use serde::{Deserialize, Serialize};

use super::Subject;

/// The latest history rows and the subjects that each row is about.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    entries: VecDeque<LogEntry>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LogEntry {
    row: HistoryRow,
    subjects: Box<[(Subject, Arc<str>)]>,
}

impl History {
    /// Maximum number of rows kept.
    pub const MAX_ROWS: usize = 20_000;

    /// The rows, oldest first.
    pub fn rows(&self) -> impl DoubleEndedIterator<Item = &HistoryRow> + ExactSizeIterator {
        self.entries.iter().map(|entry| &entry.row)
    }

    /// The rows about a named subject, oldest first.
    pub fn rows_about(&self, subject: Subject, name: &str) -> impl Iterator<Item = &HistoryRow> {
        let is_about = move |entry: &&LogEntry| {
            let mut subjects = entry.subjects.iter();
            subjects.any(|(kind, other)| *kind == subject && other.as_ref() == name)
        };
        self.entries.iter().filter(is_about).map(|entry| &entry.row)
    }

    /// Adds a row, and drops the oldest row if there are too many.
    pub(crate) fn record(&mut self, row: HistoryRow, subjects: Vec<(Subject, Arc<str>)>) {
        if self.entries.len() == Self::MAX_ROWS {
            self.entries.pop_front();
        }
        let subjects = subjects.into();
        self.entries.push_back(LogEntry { row, subjects });
    }
}
