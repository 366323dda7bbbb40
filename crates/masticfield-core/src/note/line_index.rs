//! Lines of a text.

use super::Position;

/// Where the lines of a text begin, so that many positions are found without reading it again.
#[derive(Debug, Clone)]
pub struct LineIndex<'a> {
    text: &'a str,
    /// Offsets of the lines after the first one.
    starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Creates the index of a text.
    pub fn new(text: &'a str) -> Self {
        let ends = text.match_indices('\n');
        Self {
            text,
            starts: ends.map(|(offset, _)| offset + 1).collect(),
        }
    }

    /// Returns the position of the byte at `offset`; an offset beyond the text is its end.
    ///
    /// # Examples
    ///
    /// ```
    /// use masticfield_core::note::{LineIndex, Position};
    ///
    /// let position = LineIndex::new("a\nbc").position(3);
    /// assert_eq!(position, Position { line: 2, column: 2 });
    /// ```
    pub fn position(&self, offset: usize) -> Position {
        let offset = self.text.floor_char_boundary(offset);
        let ended = self.starts.partition_point(|start| *start <= offset);
        let start = ended.checked_sub(1).map_or(0, |last| self.starts[last]);
        Position {
            line: ended + 1,
            column: self.text[start..offset].chars().count() + 1,
        }
    }
}
