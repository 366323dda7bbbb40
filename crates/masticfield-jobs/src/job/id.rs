//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Number of hexadecimal digits in the text form of a [`JobId`].
const JOB_ID_DIGITS: usize = 16;

/// Identifier of a job, chosen by the caller; 16 hexadecimal digits as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId(u64);

/// Identifier of a task of a job; `job.occurrence.step.index` as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Zero-based occurrence of the timetable; 0 for a job without one.
    pub occurrence: u32,
    /// Zero-based position of the step in the job.
    pub step: u16,
    /// Zero-based position of the task in its step.
    pub index: u32,
}

/// Identifier of one execution of a task; `task#number` as text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId {
    /// Task that is executed.
    pub task: TaskId,
    /// Number of the run, from 1; rises with each start of the task.
    pub number: u32,
}

/// The text is not a valid [`JobId`] or [`TaskId`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("not the identifier of a job or task"))]
pub struct ParseIdError;

impl JobId {
    /// Creates the identifier with the given numeric value.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the numeric value.
    pub const fn number(self) -> u64 {
        self.0
    }
}

impl TaskId {
    /// Creates the identifier of a task; all positions count from 0.
    pub const fn new(job: JobId, occurrence: u32, step: u16, index: u32) -> Self {
        Self {
            job,
            occurrence,
            step,
            index,
        }
    }

    /// Returns the identifier of the run of this task with the given number.
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
        let valid =
            text.len() == JOB_ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16);
        number.ok().filter(|_| valid).map(Self).ok_or(ParseIdError)
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
