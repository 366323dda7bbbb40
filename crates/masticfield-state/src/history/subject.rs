//! What a line of the history is about.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// The kinds of things that `explain` answers about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Subject {
    /// A host.
    Host,
    /// A pool.
    Pool,
    /// A job.
    Job,
    /// A release note, named by its number.
    Note,
}

/// The text names no kind of thing.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("a subject is one of host, pool, job and note"))]
pub struct ParseSubjectError;

impl FromStr for Subject {
    type Err = ParseSubjectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "host" => Ok(Self::Host),
            "pool" => Ok(Self::Pool),
            "job" => Ok(Self::Job),
            "note" => Ok(Self::Note),
            _ => ParseSubjectSnafu.fail(),
        }
    }
}
