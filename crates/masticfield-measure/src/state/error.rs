//! Errors of the `state` experiment.

use snafu::Snafu;

/// Error of the `state` experiment.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(super) enum StateError {
    /// An operation on a file, directory or socket failed.
    #[snafu(display("file or socket operation failed: {source}"))]
    Io {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A replica failed to start.
    #[snafu(display("replica failed to start: {source}"))]
    Open {
        /// Error that the replica returned.
        source: masticfield_replica::OpenError,
    },
    /// The replicas did not reach an awaited state within the time limit.
    #[snafu(display("the replicas did not {awaited} in time"))]
    Timeout {
        /// Awaited action, as a verb phrase.
        awaited: &'static str,
    },
    /// The resource usage of this process could not be read.
    #[snafu(display("resource usage of this process could not be read: {source}"))]
    Process {
        /// Error from reading `/proc`.
        source: procfs::ProcError,
    },
}
