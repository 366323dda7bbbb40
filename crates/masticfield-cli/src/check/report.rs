//! The result of a check.

use std::fmt;

use serde::Serialize;

use super::{Base, Change, ChangeKind, Finding, Severity};

/// Everything that a check has found.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// Version of the configuration that the note was compared with; absent if it is not known.
    base: Option<u64>,
    findings: Vec<Finding>,
    /// Absent if the note was not compared.
    changes: Option<Vec<Change>>,
}

impl Report {
    /// Creates a report, with its findings in the order of the file.
    pub(super) fn new(base: Base<'_>, findings: Vec<Finding>) -> Self {
        let report = Self {
            base: base.version(),
            findings,
            changes: None,
        };
        report.sorted()
    }

    pub(super) fn with_changes(mut self, changes: Vec<Change>) -> Self {
        self.changes = Some(changes);
        self
    }

    /// Adds a finding.
    #[must_use]
    pub fn with_finding(mut self, finding: Finding) -> Self {
        self.findings.push(finding);
        self.sorted()
    }

    fn sorted(mut self) -> Self {
        let key = |finding: &Finding| (finding.position.is_none(), finding.position);
        self.findings
            .sort_by_key(|finding| (key(finding), finding.severity));
        // A name that is changed and withdrawn has the same error for both.
        self.findings.dedup();
        self
    }

    /// Returns the findings, in the order of the file; those without a position come last.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns the differences from the configuration before the note.
    ///
    /// `None` if that is not known, if the note does not build on it, or if fields of the note are
    /// invalid.
    pub fn changes(&self) -> Option<&[Change]> {
        self.changes.as_deref()
    }

    /// Returns the number of errors.
    pub fn errors(&self) -> usize {
        self.count(Severity::Error)
    }

    /// Returns the number of warnings.
    pub fn warnings(&self) -> usize {
        self.count(Severity::Warning)
    }

    fn count(&self, severity: Severity) -> usize {
        let counted = self.findings.iter();
        counted
            .filter(|finding| finding.severity == severity)
            .count()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            writeln!(f, "{finding}")?;
        }
        for change in self.changes.iter().flatten() {
            writeln!(f, "{change}")?;
        }
        let (errors, warnings) = (self.errors(), self.warnings());
        write!(f, "errors: {errors}, warnings: {warnings}; ")?;
        let Some(changes) = &self.changes else {
            return f.write_str("no differences worked out");
        };
        let count = |kind| {
            changes
                .iter()
                .filter(|change| change.change == kind)
                .count()
        };
        write!(
            f,
            "version {}: {} objects added, {} changed, {} withdrawn",
            self.base.unwrap_or_default(),
            count(ChangeKind::Added),
            count(ChangeKind::Changed),
            count(ChangeKind::Withdrawn),
        )
    }
}
