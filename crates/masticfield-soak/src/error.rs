//! Errors that keep a soak from running.

use std::path::PathBuf;

use snafu::Snafu;

/// A soak cannot run, which says nothing about the programs' promises.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SoakError {
    /// A file or folder cannot be used.
    #[snafu(display("cannot use {}", path.display()))]
    File {
        /// The path.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A program cannot be started.
    #[snafu(display("cannot start {}", path.display()))]
    Start {
        /// Path of the program.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The programs cannot be built.
    #[snafu(display("cannot build the programs; exit code {code:?}"))]
    Build {
        /// Exit code of cargo.
        code: Option<i32>,
    },
    /// A listener cannot be bound.
    #[snafu(display("cannot bind a listener"))]
    Bind {
        /// The error of the listener.
        source: masticfield_node::http::BindError,
    },
    /// A socket or signal handler cannot be set up.
    #[snafu(display("cannot set up {what}"))]
    Io {
        /// Description of the resource.
        what: &'static str,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A resource limit of a program cannot be set.
    #[snafu(display("cannot limit the files of a program"))]
    Limit {
        /// The error of the operating system.
        source: rustix::io::Errno,
    },
    /// The programs do not serve after their first start.
    #[snafu(display("the programs do not serve within {limit_s} s after their first start"))]
    NotServing {
        /// Time that was waited, in seconds.
        limit_s: u64,
    },
    /// The soak was interrupted by a signal.
    #[snafu(display("interrupted"))]
    Interrupted,
}
