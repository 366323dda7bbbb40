//! Subjects of history rows.

use std::str::FromStr;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A kind of object that history rows are about.
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

/// The text does not name a kind of subject.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("unknown subject; expected host, pool, job or note"))]
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
