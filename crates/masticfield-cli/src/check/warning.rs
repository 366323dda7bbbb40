//! A warning about an object of a configuration.

use std::sync::Arc;

use masticfield_core::config::SpecKind;

use super::source_map::SourceMap;
use super::{Finding, Rule, Severity};

/// A warning that is not located in the file yet.
#[derive(Debug)]
pub(super) struct Warning {
    rule: Rule,
    kind: SpecKind,
    name: Arc<str>,
    field: &'static str,
    message: String,
}

impl Warning {
    /// Creates a warning about an entry that can never match anything.
    pub(super) fn unmatched(
        kind: SpecKind,
        name: &Arc<str>,
        field: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            rule: Rule::Unmatched,
            kind,
            name: Arc::clone(name),
            field,
            message: message.into(),
        }
    }

    /// Creates a warning about limits that contradict each other.
    pub(super) fn contradiction(
        kind: SpecKind,
        name: &Arc<str>,
        field: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            rule: Rule::Contradiction,
            ..Self::unmatched(kind, name, field, message)
        }
    }

    /// Converts the warning to a finding, with its position if the file declares the object.
    pub(super) fn locate(self, map: &SourceMap<'_>) -> Finding {
        let place = map.declared(self.kind, &self.name, self.field);
        let (position, field) = place.map(|place| (place.position, place.field)).unzip();
        Finding {
            severity: Severity::Warning,
            rule: self.rule,
            position,
            field,
            kind: Some(self.kind),
            message: format!("{} \"{}\" {}", self.kind, self.name, self.message),
            name: Some(self.name),
        }
    }
}
