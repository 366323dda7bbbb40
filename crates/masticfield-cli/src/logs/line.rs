//! A line of a log in JSON format.

use std::time::{Duration, SystemTime};

use serde_json::{Map, Value};

/// A line that a masticfield program wrote in JSON format.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Wall-clock time of the process that wrote the line.
    pub at: SystemTime,
    /// Name of the program that wrote the line.
    pub program: String,
    /// Message of the line.
    pub message: String,
    /// Fields of the line, without time, level, program, module and message.
    pub fields: Map<String, Value>,
    /// Text before the JSON object, such as a name added by a log collector; may be empty.
    pub origin: String,
}

impl LogLine {
    /// Parses a line; returns `None` if a masticfield program did not write it.
    pub fn parse(text: &str) -> Option<Self> {
        let (origin, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at = take(&mut fields, "at")?;
        let at = humantime::parse_rfc3339(&at).ok()?;
        let program = take(&mut fields, "program")?;
        let message = take(&mut fields, "message")?;
        for name in ["level", "module"] {
            fields.remove(name);
        }
        Some(Self {
            at,
            program,
            message,
            fields,
            origin: origin.trim().to_owned(),
        })
    }

    /// Returns whether a text field contains `id`, alone or as part of a task, run or path.
    pub fn mentions(&self, id: &str) -> bool {
        let mut values = self.fields.values();
        values.any(|value| value.as_str().is_some_and(|text| text.contains(id)))
    }

    /// Returns the value of a field as text.
    pub fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            other => Some(other.to_string()),
        }
    }

    /// Returns whether the line was written between `first` and `last`, extended by `around` at
    /// both ends.
    pub fn is_within(&self, first: SystemTime, last: SystemTime, around: Duration) -> bool {
        self.at + around >= first && self.at <= last + around
    }
}

/// Removes a field and returns its text, if it is a string.
fn take(fields: &mut Map<String, Value>, name: &str) -> Option<String> {
    match fields.remove(name)? {
        Value::String(text) => Some(text),
        _ => None,
    }
}
