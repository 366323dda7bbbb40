//! Paths to the values of a note.

use std::fmt::Write;
use std::ops::Range;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

/// One step of the path to a value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Step {
    /// A field of a table.
    Key(String),
    /// An element of an array.
    Index(usize),
}

impl Step {
    /// Creates the step to a field.
    pub(super) fn key(name: &str) -> Self {
        Self::Key(name.to_owned())
    }
}

/// The path of the field whose key or value has this span.
pub(super) fn find(table: &DeTable<'_>, span: &Range<usize>) -> Option<Vec<Step>> {
    table.iter().find_map(|(key, value)| {
        let step = Step::key(key.get_ref());
        if key.span() == *span || value.span() == *span {
            return Some(vec![step]);
        }
        let rest = find_within(value.get_ref(), span)?;
        Some(prepend(step, rest))
    })
}

fn find_within(value: &DeValue<'_>, span: &Range<usize>) -> Option<Vec<Step>> {
    match value {
        DeValue::Table(table) => find(table, span),
        DeValue::Array(array) => array.iter().enumerate().find_map(|(index, value)| {
            let step = Step::Index(index);
            if value.span() == *span {
                return Some(vec![step]);
            }
            Some(prepend(step, find_within(value.get_ref(), span)?))
        }),
        _ => None,
    }
}

/// The path of the table with this span.
pub(super) fn find_table(root: &Spanned<DeTable<'_>>, span: &Range<usize>) -> Option<Vec<Step>> {
    if root.span() == *span {
        return Some(Vec::new());
    }
    find_table_in(root.get_ref(), span)
}

fn find_table_in(table: &DeTable<'_>, span: &Range<usize>) -> Option<Vec<Step>> {
    table.iter().find_map(|(key, value)| {
        let rest = find_table_at(value, span)?;
        Some(prepend(Step::key(key.get_ref()), rest))
    })
}

fn find_table_at(value: &Spanned<DeValue<'_>>, span: &Range<usize>) -> Option<Vec<Step>> {
    match value.get_ref() {
        DeValue::Table(_) if value.span() == *span => Some(Vec::new()),
        DeValue::Table(table) => find_table_in(table, span),
        DeValue::Array(array) => array.iter().enumerate().find_map(|(index, value)| {
            Some(prepend(Step::Index(index), find_table_at(value, span)?))
        }),
        _ => None,
    }
}

fn prepend(step: Step, mut rest: Vec<Step>) -> Vec<Step> {
    rest.insert(0, step);
    rest
}

/// The value at a path, and the last step to it.
fn parent<'t, 'a>(
    root: &'t mut Spanned<DeTable<'a>>,
    path: &'t [Step],
) -> Option<(Parent<'t, 'a>, &'t Step)> {
    let (last, steps) = path.split_last()?;
    let mut parent = Parent::Table(root.get_mut());
    for step in steps {
        parent = parent.child(step)?;
    }
    Some((parent, last))
}

/// A table or an array.
enum Parent<'t, 'a> {
    Table(&'t mut DeTable<'a>),
    Array(&'t mut [Spanned<DeValue<'a>>]),
}

impl Parent<'_, '_> {
    fn child(self, step: &Step) -> Option<Self> {
        let value = match (self, step) {
            (Self::Table(table), Step::Key(key)) => table.get_mut(key.as_str())?,
            (Self::Array(array), Step::Index(index)) => array.get_mut(*index)?,
            _ => return None,
        };
        match value.get_mut() {
            DeValue::Table(table) => Some(Self::Table(table)),
            DeValue::Array(array) => Some(Self::Array(array)),
            _ => None,
        }
    }
}

/// Removes the field at `path`.
pub(super) fn remove(root: &mut Spanned<DeTable<'_>>, path: &[Step]) {
    if let Some((Parent::Table(table), Step::Key(key))) = parent(root, path) {
        table.remove(key.as_str());
    }
}

/// Puts a value at `path`.
pub(super) fn put<'a>(root: &mut Spanned<DeTable<'a>>, path: &[Step], value: Spanned<DeValue<'a>>) {
    match parent(root, path) {
        Some((Parent::Table(table), Step::Key(key))) => {
            // An insertion keeps an earlier key and its span.
            table.remove(key.as_str());
            table.insert(Spanned::new(value.span(), key.clone().into()), value);
        }
        Some((Parent::Array(array), Step::Index(index))) => {
            if let Some(element) = array.get_mut(*index) {
                *element = value;
            }
        }
        _ => {}
    }
}

/// The path as operators read it, such as `added.services[0].pool`.
pub(super) fn text(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        let written = match step {
            Step::Key(key) if text.is_empty() => write!(text, "{key}"),
            Step::Key(key) => write!(text, ".{key}"),
            Step::Index(index) => write!(text, "[{index}]"),
        };
        written.expect("writing to a string does not fail");
    }
    text
}
