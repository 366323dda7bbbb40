//! Log lines that relate to a job, in chronological order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

use super::LogLine;

/// Messages that concern all jobs at the time they are logged.
const COMMON: [&str; 11] = [
    "started",
    "stopped",
    "settings read again",
    "leads",
    "leads no more",
    "configuration in force",
    "a proposal was not committed",
    "the leading replica is connected",
    "the leading replica is not connected",
    "the list of hosts cannot be read",
    "lines left out",
];

/// How a line relates to the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relation {
    /// The line mentions the job.
    Job,
    /// The line is about an executor on which the job ran.
    Executor,
    /// The line concerns all jobs at its time.
    Common,
}

/// A line of a timeline.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineLine {
    /// Wall-clock time of the process that wrote the line, in RFC 3339.
    pub at: String,
    /// How the line relates to the job; `tie` in JSON.
    #[serde(rename = "tie")]
    pub relation: Relation,
    /// Text that a log collector put before the line, and the name of the program.
    pub origin: String,
    /// Message of the line.
    pub message: String,
    /// Fields of the line, without time, level, program, module and message.
    pub fields: Map<String, Value>,
}

/// The log lines that relate to a job, in chronological order.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use masticfield_cli::logs::{LogLine, Timeline};
///
/// let text = r#"{"at":"2026-01-01T00:00:00.000Z","program":"control","message":"job refused",
///     "job":"00000000000000a1","retry_after_ms":900}"#;
/// let lines = LogLine::parse(text);
/// let timeline = Timeline::gather(lines, "00000000000000a1", Duration::from_secs(2));
/// assert_eq!(timeline.count("job refused"), 1);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Timeline {
    /// Identifier of the job.
    pub job: String,
    /// Related lines in chronological order.
    pub lines: Vec<TimelineLine>,
    /// Number of lines that mention the job, by message and, for ends, how the run or job ended.
    pub summary: BTreeMap<String, usize>,
}

impl Timeline {
    /// Gathers the lines that mention a job, and lines within `around` of these that are about its
    /// executors or concern all jobs.
    pub fn gather(lines: impl IntoIterator<Item = LogLine>, job: &str, around: Duration) -> Self {
        let lines: Vec<_> = lines.into_iter().collect();
        let own: Vec<_> = lines.iter().filter(|line| line.mentions(job)).collect();
        let first = own.iter().map(|line| line.at).min();
        let last = own.iter().map(|line| line.at).max();
        let executors: BTreeSet<_> = own
            .iter()
            .flat_map(|line| [line.field("executor"), line.field("id")])
            .flatten()
            .collect();
        let (Some(first), Some(last)) = (first, last) else {
            return Self::new(job, Vec::new());
        };
        let related = lines.iter().filter_map(|line| {
            if !line.is_within(first, last, around) {
                return None;
            }
            Some((relation(line, job, &executors)?, line))
        });
        let mut related: Vec<_> = related.collect();
        // The sort is stable, so lines of one process with the same time keep their order.
        related.sort_by_key(|(_, line)| line.at);
        Self::new(job, related)
    }

    fn new(job: &str, related: Vec<(Relation, &LogLine)>) -> Self {
        let mut summary = BTreeMap::new();
        for (_, line) in related
            .iter()
            .filter(|(relation, _)| *relation == Relation::Job)
        {
            let end = line.field("how").or_else(|| line.field("end"));
            let kind = end.map_or_else(
                || line.message.clone(),
                |end| format!("{}: {end}", line.message),
            );
            *summary.entry(kind).or_default() += 1;
        }
        let lines = related.into_iter().map(|(relation, line)| TimelineLine {
            at: humantime::format_rfc3339_millis(line.at).to_string(),
            relation,
            origin: format!("{} {}", line.origin, line.program)
                .trim()
                .to_owned(),
            message: line.message.clone(),
            fields: line.fields.clone(),
        });
        Self {
            job: job.to_owned(),
            lines: lines.collect(),
            summary,
        }
    }

    /// Returns the number of lines that mention the job and have this message.
    pub fn count(&self, message: &str) -> usize {
        let own = self
            .lines
            .iter()
            .filter(|line| line.relation == Relation::Job);
        own.filter(|line| line.message == message).count()
    }
}

/// Returns how a line relates to a job that ran on `executors`; `None` if it does not.
fn relation(line: &LogLine, job: &str, executors: &BTreeSet<String>) -> Option<Relation> {
    if line.mentions(job) {
        return Some(Relation::Job);
    }
    // Lines about runs of other jobs on the same executors are unrelated.
    let is_of_run = line.fields.contains_key("run");
    let executor = line.field("executor");
    if !is_of_run && executor.is_some_and(|executor| executors.contains(&executor)) {
        return Some(Relation::Executor);
    }
    COMMON
        .contains(&line.message.as_str())
        .then_some(Relation::Common)
}
