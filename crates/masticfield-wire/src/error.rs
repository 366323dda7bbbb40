//! Errors of the wire.

use std::io;

use snafu::Snafu;

/// A message could not be sent or received.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The connection failed, or a frame is over its bound.
    #[snafu(display("the connection failed"))]
    Io {
        /// The cause.
        source: io::Error,
    },
    /// The peer speaks another version.
    #[snafu(display("the peer speaks version {theirs}; this process speaks {ours}"))]
    Version {
        /// Version of the peer.
        theirs: u8,
        /// Version of this process.
        ours: u8,
    },
    /// The frame or datagram is empty.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The body is no message.
    #[snafu(display("the message cannot be read"))]
    Decode {
        /// The cause.
        source: postcard::Error,
    },
    /// The message cannot be written.
    #[snafu(display("the message cannot be written"))]
    Encode {
        /// The cause.
        source: postcard::Error,
    },
    /// The datagram is over its bound.
    #[snafu(display("the datagram has {bytes} bytes; at most {limit} are sent"))]
    DatagramTooLarge {
        /// Size in bytes.
        bytes: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
}
