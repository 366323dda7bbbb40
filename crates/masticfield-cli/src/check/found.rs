//! The invalid fields of a note.

use std::collections::BTreeSet;

use super::path::Step;

/// The invalid fields of a part.
#[derive(Debug, Default)]
pub(super) struct Found {
    pub errors: Vec<FieldError>,
    /// Paths of the values that were replaced.
    pub replaced: BTreeSet<Vec<Step>>,
}

/// An unknown, missing or invalid field.
#[derive(Debug)]
pub(super) struct FieldError {
    pub offset: usize,
    /// Path of the field; empty for the note itself.
    pub path: Vec<Step>,
    pub message: String,
}

impl Found {
    /// Sets the index of the element that was the only one of its list.
    pub(super) fn set_index(&mut self, index: usize) {
        let set = |path: &mut [Step]| {
            if let [_, _, step, ..] = path {
                *step = Step::Index(index);
            }
        };
        for error in &mut self.errors {
            set(&mut error.path);
        }
        let replaced = std::mem::take(&mut self.replaced).into_iter();
        self.replaced = replaced
            .map(|mut path| {
                set(&mut path);
                path
            })
            .collect();
    }

    /// Adds what was found in another part.
    pub(super) fn extend(&mut self, other: Self) {
        self.errors.extend(other.errors);
        self.replaced.extend(other.replaced);
    }
}
