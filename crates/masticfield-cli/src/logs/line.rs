//! One line of a log.

use std::time::{Duration, SystemTime};

use serde_json::{Map, Value};

/// One line of a log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of day at its process.
    pub at: SystemTime,
    /// Program that wrote it.
    pub program: String,
    /// What it says.
    pub message: String,
    /// Its other fields.
    pub fields: Map<String, Value>,
    /// What stood before it, such as the name that a collector adds.
    pub origin: String,
}

impl LogLine {
    /// Reads a line; none if it is not one of masticfield's.
    pub fn parse(text: &str) -> Option<Self> {
        let (origin, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at = take(&mut fields, "at")?;
        let at = humantime::parse_rfc3339(&at).ok()?;
        let program = take(&mut fields, "program")?;
        let message = take(&mut fields, "message")?;
        for known in ["level", "module"] {
            fields.remove(known);
        }
        Some(Self {
            at,
            program,
            message,
            fields,
            origin: origin.trim().to_owned(),
        })
    }

    /// Whether a field names `id`, alone or as part of a task, a run or a path.
    pub fn mentions(&self, id: &str) -> bool {
        let mut values = self.fields.values();
        values.any(|value| value.as_str().is_some_and(|text| text.contains(id)))
    }

    /// The text of a field.
    pub fn field(&self, name: &str) -> Option<String> {
        match self.fields.get(name)? {
            Value::String(text) => Some(text.clone()),
            other => Some(other.to_string()),
        }
    }

    /// Whether it was written within `around` of a time.
    pub fn is_within(&self, first: SystemTime, last: SystemTime, around: Duration) -> bool {
        self.at + around >= first && self.at <= last + around
    }
}

fn take(fields: &mut Map<String, Value>, name: &str) -> Option<String> {
    match fields.remove(name)? {
        Value::String(text) => Some(text),
        _ => None,
    }
}
