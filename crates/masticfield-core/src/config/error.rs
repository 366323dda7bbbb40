//! Errors of applying a release note.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Reason why a release note is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(super)))]
pub enum NoteError {
    /// The note does not build on the latest accepted version.
    #[snafu(display("note {number} builds on {builds_on}, but {in_force} is the latest accepted"))]
    StaleBase {
        /// Number of the note.
        number: u64,
        /// Version that the note builds on.
        builds_on: u64,
        /// Latest accepted version.
        in_force: u64,
    },
    /// The number of the note is not above the version that it builds on.
    #[snafu(display("the number {number} is not above {builds_on}, which it builds on"))]
    NumberNotRising {
        /// Number of the note.
        number: u64,
        /// Version that the note builds on.
        builds_on: u64,
    },
    /// The configuration would be inconsistent after the note.
    #[snafu(display("{}", join(problems)))]
    Invalid {
        /// Every inconsistency.
        problems: Vec<NoteProblem>,
    },
}

/// One inconsistency in a release note.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum NoteProblem {
    /// An added object exists already.
    #[snafu(display("{kind} \"{name}\" is added but exists already"))]
    Exists {
        /// Kind of the object.
        kind: SpecKind,
        /// Name of the object.
        name: Arc<str>,
    },
    /// A changed or withdrawn object does not exist.
    #[snafu(display("{kind} \"{name}\" is changed or withdrawn but does not exist"))]
    Missing {
        /// Kind of the object.
        kind: SpecKind,
        /// Name of the object.
        name: Arc<str>,
    },
    /// An object refers to another one that does not exist after the note.
    #[snafu(display(
        "{kind} \"{name}\" refers to {target} \"{target_name}\", which does not exist"
    ))]
    Dangling {
        /// Kind of the referring object.
        kind: SpecKind,
        /// Name of the object.
        name: Arc<str>,
        /// Kind of the missing object.
        target: SpecKind,
        /// Name of the missing object.
        target_name: Arc<str>,
    },
    /// A value is outside its accepted range.
    #[snafu(display("{kind} \"{name}\": {field} must be {expected}"))]
    OutOfRange {
        /// Kind of the object.
        kind: SpecKind,
        /// Name of the object.
        name: Arc<str>,
        /// Name of the field.
        field: Arc<str>,
        /// Description of the accepted range.
        expected: Arc<str>,
    },
}

/// Kind of an object that a release note declares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SpecKind {
    /// A host.
    Host,
    /// A pool.
    Pool,
    /// A service.
    Service,
    /// A team.
    Team,
    /// A job.
    Job,
    /// A maintenance programme.
    Maintenance,
}

impl fmt::Display for SpecKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Host => "host",
            Self::Pool => "pool",
            Self::Service => "service",
            Self::Team => "team",
            Self::Job => "job",
            Self::Maintenance => "maintenance",
        })
    }
}

fn join(problems: &[NoteProblem]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
