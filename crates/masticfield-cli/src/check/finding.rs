//! What a check has found.

use std::fmt;
use std::sync::Arc;

use masticfield_core::config::SpecKind;
use masticfield_core::note::{ParseNoteError, Position};
use serde::Serialize;

/// One finding of a check.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Whether the leader would refuse the note.
    pub severity: Severity,
    /// Kind of the finding.
    pub rule: Rule,
    /// Position in the file; absent if the finding is about an object that the file does not name.
    #[serde(flatten)]
    pub position: Option<Position>,
    /// Path of the field, such as `added.services[0].pool`.
    pub field: Option<String>,
    /// Kind of the object, if the finding is about one.
    pub kind: Option<SpecKind>,
    /// Name of the object, if the finding is about one.
    pub name: Option<Arc<str>>,
    /// Description for operators.
    pub message: String,
}

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The leader refuses the note.
    Error,
    /// The leader accepts the note, but it hardly does what was intended.
    Warning,
}

/// Kind of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// The file is too large or is not UTF-8.
    Unreadable,
    /// The file is not valid TOML.
    Syntax,
    /// A field is unknown, missing or of the wrong type.
    Field,
    /// The note does not follow the version in force.
    Base,
    /// The configuration would be inconsistent.
    Inconsistent,
    /// An entry can never match anything.
    Unmatched,
    /// Two limits contradict each other.
    Contradiction,
    /// The version in force could not be fetched.
    NotCompared,
}

impl Finding {
    /// Creates an error without a position, field or object.
    pub(super) const fn error(rule: Rule, message: String) -> Self {
        Self {
            severity: Severity::Error,
            rule,
            position: None,
            field: None,
            kind: None,
            name: None,
            message,
        }
    }

    /// Creates the error of a file that cannot be parsed at all.
    pub(super) fn unreadable(error: &ParseNoteError) -> Self {
        Self::error(Rule::Unreadable, error.to_string())
    }

    /// Creates the warning that the version in force could not be fetched.
    pub fn not_compared(reason: impl fmt::Display) -> Self {
        let message = format!("not compared with the version in force: {reason}");
        Self {
            severity: Severity::Warning,
            ..Self::error(Rule::NotCompared, message)
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(Position { line, column }) = self.position {
            write!(f, "line {line}, column {column}: ")?;
        }
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}", self.message)?;
        match &self.field {
            Some(field) => write!(f, " ({field})"),
            None => Ok(()),
        }
    }
}
