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
    /// The peer did not prove a key.
    #[snafu(display("the handshake failed: {failure}"))]
    Handshake {
        /// What went wrong.
        failure: HandshakeFailure,
    },
    /// A frame was not written by the peer of the handshake, or is out of order.
    #[snafu(display("a frame is not authentic"))]
    Forged,
}

/// Why a handshake failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HandshakeFailure {
    /// The peer holds none of the keys.
    #[snafu(display("the peer holds none of the keys"))]
    WrongKey,
    /// The peer sent something else.
    #[snafu(display("the peer sent no handshake of this version"))]
    Malformed,
    /// The peer took too long.
    #[snafu(display("the peer took too long"))]
    TimedOut,
}
