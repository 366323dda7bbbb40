//! The lines that tell what became of a job, in order.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

use super::LogLine;

/// Messages that concern every job of their time.
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

/// How a line is tied to the job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Relation {
    /// It names the job.
    Job,
    /// It tells of an executor on which the job ran.
    Executor,
    /// It concerns every job of its time.
    Common,
}

/// A line of a trail.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct TimelineLine {
    /// Time of day at its process, in RFC 3339.
    pub at: String,
    /// How it is tied to the job.
    #[serde(rename = "tie")]
    pub relation: Relation,
    /// Where it came from: what a collector put before it, and the program.
    pub origin: String,
    /// What it says.
    pub message: String,
    /// Its fields.
    pub fields: Map<String, Value>,
}

/// The lines that tell what became of a job, in the order of their times.
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
/// let trail = Timeline::gather(lines, "00000000000000a1", Duration::from_secs(2));
/// assert_eq!(trail.count("job refused"), 1);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Timeline {
    /// The job.
    pub job: String,
    /// The lines.
    pub lines: Vec<TimelineLine>,
    /// How many lines there are by message and, for runs, how they ended.
    pub summary: BTreeMap<String, usize>,
}

impl Timeline {
    /// Gathers the lines on a job, and those within `around` of it that bear on it.
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
            return Self::of(job, Vec::new());
        };
        let tied = lines.iter().filter_map(|line| {
            if !line.is_within(first, last, around) {
                return None;
            }
            Some((tie(line, job, &executors)?, line))
        });
        let mut tied: Vec<_> = tied.collect();
        // Lines of one process keep their order where their times are the same.
        tied.sort_by_key(|(_, line)| line.at);
        Self::of(job, tied)
    }

    fn of(job: &str, tied: Vec<(Relation, &LogLine)>) -> Self {
        let mut summary = BTreeMap::new();
        for (_, line) in tied.iter().filter(|(tie, _)| *tie == Relation::Job) {
            let how = line.field("how").or_else(|| line.field("end"));
            let kind = how.map_or_else(
                || line.message.clone(),
                |how| format!("{}: {how}", line.message),
            );
            *summary.entry(kind).or_default() += 1;
        }
        let lines = tied.into_iter().map(|(relation, line)| TimelineLine {
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

    /// How many lines of a message name the job.
    pub fn count(&self, message: &str) -> usize {
        let named = self
            .lines
            .iter()
            .filter(|line| line.relation == Relation::Job);
        named.filter(|line| line.message == message).count()
    }
}

/// How a line is tied to a job that ran on these executors.
fn tie(line: &LogLine, job: &str, executors: &BTreeSet<String>) -> Option<Relation> {
    if line.mentions(job) {
        return Some(Relation::Job);
    }
    // Runs of other jobs there are theirs.
    let of_run = line.fields.contains_key("run");
    let executor = line.field("executor");
    if !of_run && executor.is_some_and(|executor| executors.contains(&executor)) {
        return Some(Relation::Executor);
    }
    COMMON
        .contains(&line.message.as_str())
        .then_some(Relation::Common)
}
