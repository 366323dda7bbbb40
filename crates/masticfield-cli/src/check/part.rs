//! A part of a note in which invalid values are replaced.

use std::collections::BTreeSet;
use std::ops::Range;

use masticfield_core::note::ReleaseNote;
use serde::Deserialize;
use toml::Spanned;
use toml::de::{DeTable, DeValue, Deserializer};

use super::found::{FieldError, Found};
use super::path::{self, Step};

/// Maximum number of times that a part is parsed: each of up to ten fields, nested ones included,
/// takes at most six.
const MAX_ROUNDS: usize = 100;

/// Values that are tried in place of one that is missing or invalid, as TOML.
const REPLACEMENTS: [&str; 4] = ["1", "\"1s\"", "{}", "[]"];

/// A part of a note, and replacements for the invalid values that were found so far.
#[derive(Debug)]
pub(super) struct Part<'a> {
    root: Spanned<DeTable<'a>>,
    /// Length of the text. Values that are not in the text have a span beyond it.
    length: usize,
    /// Index of the replacement that is tried in each place.
    tried: Vec<usize>,
    /// Fields that were removed as they are invalid; some are required.
    removed: BTreeSet<Vec<Step>>,
    found: Found,
}

/// What follows an error.
enum Next {
    Continue,
    Stop,
}

impl<'a> Part<'a> {
    /// Creates a part of a text of `length` bytes.
    pub(super) const fn new(root: Spanned<DeTable<'a>>, length: usize) -> Self {
        Self {
            root,
            length,
            tried: Vec::new(),
            removed: BTreeSet::new(),
            found: Found {
                errors: Vec::new(),
                replaced: BTreeSet::new(),
            },
        }
    }

    /// Replaces every invalid value; returns the part and what was found.
    pub(super) fn run(mut self) -> (DeTable<'a>, Found) {
        for _ in 0..MAX_ROUNDS {
            let Err(error) = parse(self.root.clone()) else {
                break;
            };
            match self.step(&error) {
                Next::Continue => {}
                Next::Stop => break,
            }
        }
        (self.root.into_inner(), self.found)
    }

    /// Records an error and changes the part so that the next one is found.
    fn step(&mut self, error: &toml::de::Error) -> Next {
        let span = error.span().unwrap_or_default();
        if let Some(field) = missing_field(error) {
            return self.insert_missing(field, &span, error);
        }
        if span.start > self.length {
            return self.try_next_replacement(&span);
        }
        let Some(path) = path::find(self.root.get_ref(), &span) else {
            self.record(span.start, &[], error);
            return Next::Stop;
        };
        self.record(span.start, &path, error);
        if let Some(Step::Index(_)) = path.last() {
            return self.replace(&path);
        }
        path::remove(&mut self.root, &path);
        self.removed.insert(path);
        Next::Continue
    }

    fn insert_missing(
        &mut self,
        field: &str,
        table: &Range<usize>,
        error: &toml::de::Error,
    ) -> Next {
        let Some(mut path) = path::find_table(&self.root, table) else {
            self.record(table.start, &[], error);
            return Next::Stop;
        };
        path.push(Step::key(field));
        if table.start <= self.length && !self.removed.contains(&path) {
            self.record(table.start, &path, error);
        }
        self.replace(&path)
    }

    /// Puts the first replacement at `path`.
    fn replace(&mut self, path: &[Step]) -> Next {
        let start = self.length + 1 + self.tried.len();
        self.tried.push(0);
        path::put(&mut self.root, path, replacement(0, start..start));
        Next::Continue
    }

    /// Puts the next replacement where the one with this span was not accepted.
    fn try_next_replacement(&mut self, span: &Range<usize>) -> Next {
        let place = span.start - self.length - 1;
        let Some(path) = path::find(self.root.get_ref(), span) else {
            return Next::Stop;
        };
        let Some(tried) = self.tried.get_mut(place) else {
            return Next::Stop;
        };
        *tried += 1;
        if *tried == REPLACEMENTS.len() {
            return Next::Stop;
        }
        let value = replacement(*tried, span.clone());
        path::put(&mut self.root, &path, value);
        Next::Continue
    }

    fn record(&mut self, offset: usize, path: &[Step], error: &toml::de::Error) {
        self.found.errors.push(FieldError {
            offset,
            path: path.to_vec(),
            message: error.message().to_owned(),
        });
        self.found.replaced.insert(path.to_vec());
    }
}

/// Parses a note from its table.
pub(super) fn parse(root: Spanned<DeTable<'_>>) -> Result<ReleaseNote, toml::de::Error> {
    ReleaseNote::deserialize(Deserializer::from(root))
}

/// The name of the field that is missing, if that is the error.
fn missing_field(error: &toml::de::Error) -> Option<&str> {
    let rest = error.message().strip_prefix("missing field `")?;
    Some(rest.split_once('`')?.0)
}

fn replacement<'a>(index: usize, span: Range<usize>) -> Spanned<DeValue<'a>> {
    let value = DeValue::parse(REPLACEMENTS[index]).expect("replacements are valid TOML");
    Spanned::new(span, value.into_inner())
}
