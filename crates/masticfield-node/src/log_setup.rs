//! Setup of structured logs.

use std::fmt::Write as _;
use std::io::Write as _;
use std::str::FromStr;
use std::time::SystemTime;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Record};
use serde_json::{Map, json};
use snafu::Snafu;

use crate::log_writer::{LineVerdict, LogWriter};

/// Format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// The text is not the name of a log format.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a log format is \"text\" or \"json\""))]
pub struct ParseLogFormatError;

impl FromStr for LogFormat {
    type Err = ParseLogFormatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(ParseLogFormatError),
        }
    }
}

/// Installs a logger that writes the logs of `program` to standard error.
///
/// Only the first call in a process has an effect.
pub fn init(program: &'static str, level: LevelFilter, format: LogFormat) {
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("opentelemetry", LevelFilter::Warn)
        .level_for("opentelemetry_sdk", LevelFilter::Warn)
        .format(move |out, message, record| {
            let line = match format {
                LogFormat::Text => text_line(program, &message.to_string(), record),
                LogFormat::Json => json_line(program, &message.to_string(), record),
            };
            out.finish(format_args!("{line}"));
        })
        // fern's own output panics if a line cannot be written, for example to a file on a full disk.
        .chain(fern::Output::call(|record| {
            drop(writeln!(std::io::stderr().lock(), "{}", record.args()));
        }));
    // Programs that share a process, as in the demo, share the logger that was installed first.
    drop(dispatch.apply());
}

/// Installs a logger that writes the logs of `program` to standard output and never blocks.
///
/// See [`LogWriter`] for the lines that are suppressed under load. Only the first call in a
/// process has an effect.
pub fn init_bounded(program: &'static str, level: LevelFilter, format: LogFormat) -> LogWriter {
    let writer = LogWriter::spawn(std::io::stdout());
    let handle = writer.clone();
    let output = fern::Output::call(move |record| {
        let message = record.args().to_string();
        let LineVerdict::Write { suppressed } = writer.admit(&message) else {
            return;
        };
        let line = match format {
            LogFormat::Text => text_line(program, &message, record),
            LogFormat::Json => json_line(program, &message, record),
        };
        if suppressed > 0 {
            writer.write(format!(
                r#"{{"message":"lines left out","kind":"{message}","lines":{suppressed}}}"#
            ));
        }
        writer.write(line);
    });
    let dispatch = fern::Dispatch::new().level(level).chain(output);
    drop(dispatch.apply());
    handle
}

fn text_line(program: &str, message: &str, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now());
    let mut line = format!("{time} {:5} {program} {message}", record.level());
    for (key, value) in fields(record) {
        write!(line, " {key}={value}").expect("writing into a string does not fail");
    }
    line
}

fn json_line(program: &str, message: &str, record: &Record<'_>) -> String {
    let mut object = fields(record);
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    object.insert("at".into(), json!(time));
    object.insert("level".into(), json!(record.level().as_str()));
    object.insert("program".into(), json!(program));
    object.insert("module".into(), json!(record.target()));
    object.insert("message".into(), json!(message));
    serde_json::Value::Object(object).to_string()
}

fn fields(record: &Record<'_>) -> Map<String, serde_json::Value> {
    let mut collector = FieldCollector(Map::new());
    // `FieldCollector` never returns an error.
    drop(record.key_values().visit(&mut collector));
    collector.0
}

/// Collects the fields of a record as JSON, keeping numbers as numbers.
struct FieldCollector(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldCollector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let integer = value.to_u64().map(|value| json!(value));
        let number = integer.or_else(|| value.to_f64().map(|value| json!(value)));
        let value = number.unwrap_or_else(|| json!(value.to_string()));
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
