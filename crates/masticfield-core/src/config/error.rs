//! Why a release note is refused.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A release note that does not apply.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
#[snafu(visibility(pub(super)))]
pub enum NoteError {
    /// The note builds on another version than the one in force.
    #[snafu(display("note {number} builds on {builds_on}, but {in_force} is the latest accepted"))]
    StaleBase {
        /// Number of the note.
        number: u64,
        /// The version that it builds on.
        builds_on: u64,
        /// The latest accepted version.
        in_force: u64,
    },
    /// The number does not rise.
    #[snafu(display("the number {number} is not above {builds_on}, which it builds on"))]
    NumberNotRising {
        /// Number of the note.
        number: u64,
        /// The version that it builds on.
        builds_on: u64,
    },
    /// The content is inconsistent.
    #[snafu(display("{}", list(problems)))]
    Invalid {
        /// Every problem that was found.
        problems: Vec<NoteProblem>,
    },
}

/// One inconsistency in a release note.
#[derive(Debug, Clone, PartialEq, Eq, Snafu, Serialize, Deserialize)]
pub enum NoteProblem {
    /// Something is added that exists.
    #[snafu(display("{kind} \"{name}\" is added but exists already"))]
    Exists {
        /// What it is.
        kind: SpecKind,
        /// Its name.
        name: Arc<str>,
    },
    /// Something is changed or withdrawn that does not exist.
    #[snafu(display("{kind} \"{name}\" is changed or withdrawn but does not exist"))]
    Missing {
        /// What it is.
        kind: SpecKind,
        /// Its name.
        name: Arc<str>,
    },
    /// Something refers to what does not exist after the note.
    #[snafu(display(
        "{kind} \"{name}\" refers to {target} \"{target_name}\", which does not exist"
    ))]
    Dangling {
        /// What refers.
        kind: SpecKind,
        /// Its name.
        name: Arc<str>,
        /// What is referred to.
        target: SpecKind,
        /// The name referred to.
        target_name: Arc<str>,
    },
    /// A value is out of its range.
    #[snafu(display("{kind} \"{name}\": {field} must be {expected}"))]
    OutOfRange {
        /// What has the value.
        kind: SpecKind,
        /// Its name.
        name: Arc<str>,
        /// The field.
        field: Arc<str>,
        /// The accepted range.
        expected: Arc<str>,
    },
}

/// The kinds of things that a release note declares.
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

fn list(problems: &[NoteProblem]) -> String {
    problems
        .iter()
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join("; ")
}
