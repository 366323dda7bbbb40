//! Errors of a replica.

use std::io;
use std::path::PathBuf;

use masticfield_core::ids::ReplicaId;
use snafu::Snafu;

use crate::MAX_PAYLOAD_BYTES;
use crate::storage::is_lack_of_space;

/// Error of starting a replica or inspecting its data folder.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum OpenError {
    /// A file or folder cannot be read or written.
    #[snafu(display("{} cannot be used", path.display()))]
    Io {
        /// File or folder that the operation failed for.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Another process has the data folder open.
    #[snafu(display("{} is locked by another process", path.display()))]
    Locked {
        /// Data folder.
        path: PathBuf,
    },
    /// The stored state is corrupt, other than by an incomplete last write.
    #[snafu(display("{} is corrupt at byte {offset}", path.display()))]
    Corrupt {
        /// Corrupt or missing file, or the data folder if it has no log.
        path: PathBuf,
        /// Offset of the first invalid record in the file, in bytes; 0 for the file as a whole.
        offset: u64,
    },
    /// The data folder was written in another version of the format.
    #[snafu(display(
        "{} has format {found}; this program supports format {supported}",
        path.display()
    ))]
    Format {
        /// File that states the version.
        path: PathBuf,
        /// Version of the data folder.
        found: u16,
        /// Version that this program reads and writes.
        supported: u16,
    },
    /// The data folder belongs to another replica.
    #[snafu(display("{} belongs to replica {found}, not {expected}", path.display()))]
    WrongReplica {
        /// Data folder.
        path: PathBuf,
        /// Replica that the data folder belongs to.
        found: ReplicaId,
        /// Replica that was to be opened.
        expected: ReplicaId,
    },
    /// The folder to inspect is no data folder.
    #[snafu(display("{} holds no state of a replica", path.display()))]
    Empty {
        /// Folder that was to be inspected.
        path: PathBuf,
    },
    /// The replica cannot listen for connections of its peers.
    #[snafu(display("cannot listen to peers"))]
    Listen {
        /// Error of the operating system.
        source: io::Error,
    },
}

impl OpenError {
    /// Whether the data folder cannot be written for lack of space.
    pub fn is_lack_of_space(&self) -> bool {
        matches!(self, Self::Io { source, .. } if is_lack_of_space(source))
    }
}

/// Error of a proposal. Only [`ProposeError::Undecided`] leaves open whether it is committed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProposeError {
    /// This replica does not lead; the payload was not proposed.
    #[snafu(display("another replica leads"))]
    NotLeader {
        /// Current leader; `None` if it is not known.
        leader: Option<ReplicaId>,
    },
    /// The payload was proposed; whether it will be committed is not known.
    #[snafu(display("the outcome of the proposal is not known"))]
    Undecided,
    /// The payload exceeds [`MAX_PAYLOAD_BYTES`] and was not proposed.
    #[snafu(display("the payload exceeds {MAX_PAYLOAD_BYTES} bytes"))]
    TooLarge,
    /// The replica has stopped, or cannot write to its disk any more.
    #[snafu(display("the replica has stopped writing"))]
    Stopped,
}
