//! Errors of the experiment.

use snafu::Snafu;

/// The experiment `state` could not be measured.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum StateError {
    /// A file, socket or folder cannot be used.
    #[snafu(display("a file or socket cannot be used"))]
    Io {
        /// The cause.
        source: std::io::Error,
    },
    /// A replica does not start.
    #[snafu(display("a replica does not start"))]
    Open {
        /// The cause.
        source: masticfield_replica::OpenError,
    },
    /// The group did not do what was waited for.
    #[snafu(display("the group did not {awaited} in time"))]
    Timeout {
        /// What was waited for.
        awaited: &'static str,
    },
    /// The cost of this process cannot be read.
    #[snafu(display("the cost of this process cannot be read"))]
    Process {
        /// The cause.
        source: procfs::ProcError,
    },
}
