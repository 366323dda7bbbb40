//! Errors of the command line.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use masticfield_core::config::NoteError;
use masticfield_core::note::ParseNoteError;
use masticfield_core::operator::Problem;
use masticfield_node::http::ClientError;
use snafu::Snafu;

/// Reason why a subcommand failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The file cannot be read.
    #[snafu(display("{} cannot be read", path.display()))]
    File {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is not a release note.
    #[snafu(display("{} is not a release note", path.display()))]
    Note {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: ParseNoteError,
    },
    /// A note given as the base does not apply to the ones before it.
    #[snafu(display("{} does not apply to the notes before it", path.display()))]
    Base {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: NoteError,
    },
    /// No control replica responded.
    #[snafu(display("no control replica answered; the last one tried was {address}"))]
    Unreachable {
        /// Address of the replica that was tried last.
        address: SocketAddr,
        /// The cause.
        source: ClientError,
    },
    /// The response is not one of a control replica.
    #[snafu(display("the response of {address} cannot be parsed"))]
    Response {
        /// Address that sent the response.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
    /// A replica refused the request, or no quorum of replicas was reachable.
    #[snafu(display("{problem}"))]
    Refused {
        /// Reason for the refusal.
        problem: Problem,
    },
    /// No control replica leads.
    #[snafu(display("no control replica leads at the moment; nothing was accepted"))]
    NoLeader,
    /// The note was accepted but did not come into force within the wait timeout.
    #[snafu(display(
        "note {number} is accepted, but was not in force everywhere after {waited:?}"
    ))]
    StillPending {
        /// Number of the note.
        number: u64,
        /// Time that was waited for it.
        waited: Duration,
    },
    /// The output cannot be written.
    #[snafu(display("the output cannot be written"))]
    Output {
        /// The cause.
        source: io::Error,
    },
    /// The async runtime cannot start.
    #[snafu(display("the program cannot start"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
}

impl CliError {
    /// Returns the exit code of the program for this error.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused {
                problem: Problem::NoQuorum | Problem::Undecided | Problem::Overloaded,
            }
            | Self::NoLeader => 4,
            Self::Refused { .. } | Self::Note { .. } => 3,
            Self::StillPending { .. } => 5,
            _ => 1,
        }
    }
}
