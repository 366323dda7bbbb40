//! Differences between two configurations.

use std::fmt;
use std::sync::Arc;

use masticfield_core::config::SpecKind;
use serde::Serialize;
use serde_json::Value;

/// An object that differs between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// How the object differs.
    pub change: ChangeKind,
    /// Kind of the object.
    pub kind: SpecKind,
    /// Name of the object.
    pub name: Arc<str>,
    /// Fields that differ; empty unless the object is changed.
    pub fields: Vec<FieldChange>,
}

/// How an object differs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeKind {
    /// Only the later configuration has the object.
    Added,
    /// Both configurations have the object, with different fields.
    Changed,
    /// Only the earlier configuration has the object.
    Withdrawn,
}

/// A field that differs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field within the object, such as `promise.availability`.
    pub field: String,
    /// Value in the earlier configuration.
    pub from: Value,
    /// Value in the later configuration.
    pub to: Value,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let change = match self.change {
            ChangeKind::Added => "added",
            ChangeKind::Changed => "changed",
            ChangeKind::Withdrawn => "withdrawn",
        };
        write!(f, "{change} {} \"{}\"", self.kind, self.name)?;
        for (index, FieldChange { field, from, to }) in self.fields.iter().enumerate() {
            let separator = if index == 0 { ": " } else { ", " };
            write!(f, "{separator}{field} {from} -> {to}")?;
        }
        Ok(())
    }
}
