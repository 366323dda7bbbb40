//! Errors of the command line.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use masticfield_core::note::ParseNoteError;
use masticfield_core::operator::Problem;
use masticfield_node::http::ClientError;
use snafu::Snafu;

/// A command was not carried out.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CliError {
    /// The file cannot be read.
    #[snafu(display("{} cannot be read", path.display()))]
    File {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The file is no release note.
    #[snafu(display("{} is no release note", path.display()))]
    Note {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: ParseNoteError,
    },
    /// No control replica answered.
    #[snafu(display("no control replica answered; the last one tried was {address}"))]
    Unreachable {
        /// The last address.
        address: SocketAddr,
        /// The cause.
        source: ClientError,
    },
    /// The answer is not one of a control replica.
    #[snafu(display("{address} gave an answer that cannot be read"))]
    Answer {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
    /// The request was not carried out.
    #[snafu(display("{problem}"))]
    Refused {
        /// Why.
        problem: Problem,
    },
    /// No replica leads.
    #[snafu(display("no control replica leads at the moment; nothing was accepted"))]
    NoLeader,
    /// The note is accepted but not in force yet.
    #[snafu(display(
        "note {number} is accepted, but was not in force everywhere after {waited:?}"
    ))]
    StillPending {
        /// Number of the note.
        number: u64,
        /// How long it was waited for.
        waited: Duration,
    },
    /// The output cannot be written.
    #[snafu(display("the output cannot be written"))]
    Output {
        /// The cause.
        source: io::Error,
    },
    /// The runtime cannot start.
    #[snafu(display("the program cannot start"))]
    Runtime {
        /// The cause.
        source: io::Error,
    },
}

impl CliError {
    /// The exit code that goes with the error.
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Refused {
                problem: Problem::NoQuorum | Problem::Undecided,
            }
            | Self::NoLeader => 4,
            Self::Refused { .. } | Self::Note { .. } => 3,
            Self::StillPending { .. } => 5,
            _ => 1,
        }
    }
}
