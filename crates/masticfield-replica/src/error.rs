//! Errors of a replica.

use std::io;
use std::path::PathBuf;

use masticfield_core::ids::ReplicaId;
use snafu::Snafu;

/// A replica could not open its data folder.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum OpenError {
    /// A file or folder cannot be read or written.
    #[snafu(display("{} cannot be used", path.display()))]
    Io {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Another process holds the folder.
    #[snafu(display("{} is locked by another process", path.display()))]
    Locked {
        /// The path.
        path: PathBuf,
    },
    /// The stored state is damaged before its end.
    #[snafu(display("{} is damaged at byte {offset}", path.display()))]
    Damaged {
        /// The path.
        path: PathBuf,
        /// Offset of the first damaged byte.
        offset: u64,
    },
    /// The folder was written by another version of the format.
    #[snafu(display("{} has format {theirs}; this program reads {ours}", path.display()))]
    Format {
        /// The path.
        path: PathBuf,
        /// Version of the folder.
        theirs: u16,
        /// Version of this program.
        ours: u16,
    },
    /// The folder belongs to another replica.
    #[snafu(display("{} belongs to replica {theirs}, not {ours}", path.display()))]
    OtherReplica {
        /// The path.
        path: PathBuf,
        /// Replica that the folder belongs to.
        theirs: ReplicaId,
        /// Replica that was to open it.
        ours: ReplicaId,
    },
    /// The folder holds no state.
    #[snafu(display("{} holds no state", path.display()))]
    Empty {
        /// The path.
        path: PathBuf,
    },
    /// The replica cannot listen to its peers.
    #[snafu(display("cannot listen to peers"))]
    Listen {
        /// The cause.
        source: io::Error,
    },
}

/// A payload was not committed, as far as is known.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// Another replica leads; the payload was not proposed.
    #[snafu(display("another replica leads"))]
    NotLeader {
        /// The leader, if it is known.
        leader: Option<ReplicaId>,
    },
    /// The payload was proposed and may be committed yet or not.
    #[snafu(display("the outcome of the proposal is not known"))]
    Undecided,
    /// The payload is too large and was not proposed.
    #[snafu(display("the payload is too large"))]
    TooLarge,
    /// The replica cannot write any more.
    #[snafu(display("the replica has stopped writing"))]
    Stopped,
}
