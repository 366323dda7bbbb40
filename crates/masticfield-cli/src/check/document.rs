//! The text of a note, and the note that it contains.

use std::collections::BTreeSet;

use masticfield_core::config::NoteProblem;
use masticfield_core::note::{LineIndex, ParseNoteError, Position, ReleaseNote};
use toml::Spanned;
use toml::de::DeTable;

use super::path::{self, Step};
use super::repair;
use super::source_map::{Declaration, SourceMap};
use super::{Finding, Rule, problems};

/// A text that may be a release note, with every error of its fields.
#[derive(Debug)]
pub(super) struct Document<'a> {
    lines: LineIndex<'a>,
    table: DeTable<'a>,
    /// The note, with invalid values replaced; `None` if the text is not valid TOML.
    note: Option<ReleaseNote>,
    errors: Vec<Finding>,
    /// Paths of the values that were replaced.
    replaced: BTreeSet<Vec<Step>>,
    /// Whether whole declarations or withdrawn names were replaced.
    lacks_declarations: bool,
}

impl<'a> Document<'a> {
    /// Creates the document of a note without errors of its fields.
    pub(super) fn new(text: &'a str, note: ReleaseNote) -> Self {
        Self {
            table: DeTable::parse_recoverable(text).0.into_inner(),
            note: Some(note),
            ..Self::empty(text)
        }
    }

    /// Creates the document of a text that is refused with `first`, and finds all further errors.
    pub(super) fn repaired(text: &'a str, first: &ParseNoteError) -> Self {
        let (root, syntax) = DeTable::parse_recoverable(text);
        let mut document = Self::empty(text);
        for error in &syntax {
            let offset = error.span().map_or(0, |span| span.start);
            document.add_error(Rule::Syntax, offset, None, error.message());
        }
        // Values of a text that is not valid TOML cannot be attributed to fields.
        if syntax.is_empty() {
            document.repair(root, text.len());
        }
        if document.errors.is_empty() {
            document.add_first(first);
        }
        document
    }

    fn empty(text: &'a str) -> Self {
        Self {
            lines: LineIndex::new(text),
            table: DeTable::new(),
            note: None,
            errors: Vec::new(),
            replaced: BTreeSet::new(),
            lacks_declarations: false,
        }
    }

    fn repair(&mut self, root: Spanned<DeTable<'a>>, length: usize) {
        let repaired = repair::repair(root, length);
        self.note = repaired.note;
        self.table = repaired.root;
        self.replaced = repaired.found.replaced;
        for error in repaired.found.errors {
            let field = path::text(&error.path);
            self.add_error(Rule::Field, error.offset, Some(field), &error.message);
        }
        let sections = repair::SECTIONS.map(Step::key);
        self.lacks_declarations = self.replaced.iter().any(|path| {
            let first = path.first();
            path.len() <= 3 && first.is_some_and(|first| sections.contains(first))
        });
    }

    fn add_error(&mut self, rule: Rule, offset: usize, field: Option<String>, message: &str) {
        self.errors.push(Finding {
            position: Some(self.lines.position(offset)),
            field: field.filter(|field| !field.is_empty()),
            ..Finding::error(rule, message.trim_end().replace('\n', "; "))
        });
    }

    fn add_first(&mut self, error: &ParseNoteError) {
        let finding = Finding::error(Rule::Field, error.to_string());
        self.errors.push(match *error {
            ParseNoteError::Syntax { line, column, .. } => Finding {
                position: Some(Position { line, column }),
                ..finding
            },
            _ => finding,
        });
    }

    /// The lines of the text.
    pub(super) const fn lines(&self) -> &LineIndex<'a> {
        &self.lines
    }

    /// The table that the text was parsed to, with invalid values replaced.
    pub(super) const fn table(&self) -> &DeTable<'a> {
        &self.table
    }

    /// The note, if the text is valid TOML.
    pub(super) const fn note(&self) -> Option<&ReleaseNote> {
        self.note.as_ref()
    }

    /// Errors of the syntax and of single fields.
    pub(super) fn errors(&self) -> &[Finding] {
        &self.errors
    }

    /// Whether no value was replaced.
    pub(super) const fn is_intact(&self) -> bool {
        self.errors.is_empty()
    }

    /// Whether the versions are those of the text.
    pub(super) fn has_versions(&self) -> bool {
        let is_replaced = |name| self.replaced.contains(&[Step::key(name)][..]);
        !is_replaced("number") && !is_replaced("builds_on")
    }

    /// Whether a problem is certain in spite of the values that were replaced.
    pub(super) fn is_certain_of(&self, problem: &NoteProblem, map: &SourceMap<'_>) -> bool {
        let (kind, name) = problems::object(problem);
        let is_field_alone = matches!(problem, NoteProblem::OutOfRange { .. });
        (is_field_alone || !self.lacks_declarations)
            && map
                .declarations(kind, name)
                .iter()
                .all(|declaration| !self.is_replaced_in(declaration))
    }

    fn is_replaced_in(&self, declaration: &Declaration<'_>) -> bool {
        let path = vec![
            Step::key(declaration.section),
            Step::key(declaration.list),
            Step::Index(declaration.index),
        ];
        let next = self.replaced.range(path.clone()..).next();
        next.is_some_and(|replaced| replaced.starts_with(&path))
    }
}
