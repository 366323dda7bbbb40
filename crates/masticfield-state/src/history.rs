//! What was done and why.

use std::collections::VecDeque;

use masticfield_core::operator::HistoryRow;
use serde::{Deserialize, Serialize};

/// The latest lines of the history.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    rows: VecDeque<HistoryRow>,
}

impl History {
    /// Lines that are kept.
    pub const MAX_ROWS: usize = 20_000;

    /// The lines, oldest first.
    pub fn rows(&self) -> impl DoubleEndedIterator<Item = &HistoryRow> {
        self.rows.iter()
    }

    /// Adds a line and forgets the oldest if there are too many.
    pub(crate) fn record(&mut self, index: u64, at_ms: u64, event: &str, reason: &str) {
        if self.rows.len() == Self::MAX_ROWS {
            self.rows.pop_front();
        }
        let (event, reason) = (event.into(), reason.into());
        self.rows.push_back(HistoryRow {
            index,
            at_ms,
            event,
            reason,
        });
    }
}
