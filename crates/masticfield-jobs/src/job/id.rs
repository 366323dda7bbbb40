//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Hexadecimal digits of a job's identifier.
const JOB_DIGITS: usize = 16;

/// Identifier of a job, chosen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(u64);

/// Identifier of a task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0; 0 for a job without a timetable.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u16,
    /// Index in the step, from 0.
    pub index: u32,
}

/// One start of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Number of the start, from 1.
    pub number: u32,
}

/// The text is no identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not the identifier of a job or task"))]
pub struct ParseIdError;

impl JobId {
    /// Creates the identifier from its number.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The number.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl TaskId {
    /// Creates the identifier of a task.
    pub const fn new(job: JobId, occurrence: u32, step: u16, index: u32) -> Self {
        Self {
            job,
            occurrence,
            step,
            index,
        }
    }

    /// The run of this task with a number.
    pub const fn run(self, number: u32) -> RunId {
        RunId { task: self, number }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let digits = text.len() == JOB_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16);
        number.ok().filter(|_| digits).map(Self).ok_or(ParseIdError)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split('.');
        let mut part = || parts.next().ok_or(ParseIdError);
        let job = part()?.parse()?;
        let occurrence = part()?.parse().map_err(|_not_a_number| ParseIdError)?;
        let step = part()?.parse().map_err(|_not_a_number| ParseIdError)?;
        let index = part()?.parse().map_err(|_not_a_number| ParseIdError)?;
        match parts.next() {
            None => Ok(Self::new(job, occurrence, step, index)),
            Some(_) => Err(ParseIdError),
        }
    }
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.number)
    }
}
