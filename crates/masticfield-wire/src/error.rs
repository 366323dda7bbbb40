//! Errors of connections and datagrams.

use std::io;

use snafu::Snafu;

/// Error of sending or receiving a message.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum WireError {
    /// The connection failed, or a frame exceeds its maximum size.
    #[snafu(display("the connection failed"))]
    Io {
        /// Error of the socket or of the framing.
        source: io::Error,
    },
    /// The peer uses another version of the protocols.
    #[snafu(display("the peer uses protocol version {peer}; this process uses version {own}"))]
    Version {
        /// Version of the peer.
        peer: u8,
        /// Version of this process, [`WIRE_VERSION`](crate::WIRE_VERSION).
        own: u8,
    },
    /// The frame or datagram has no content.
    #[snafu(display("the message is empty"))]
    Empty,
    /// The body is not a message of the expected type.
    #[snafu(display("the message cannot be decoded"))]
    Decode {
        /// Error of the decoder.
        source: postcard::Error,
    },
    /// The message cannot be encoded.
    #[snafu(display("the message cannot be encoded"))]
    Encode {
        /// Error of the encoder.
        source: postcard::Error,
    },
    /// The datagram exceeds its maximum size and is not sent.
    #[snafu(display("the datagram has {bytes} bytes; the maximum is {limit}"))]
    DatagramTooLarge {
        /// Size of the datagram, in bytes.
        bytes: usize,
        /// Maximum size, in bytes.
        limit: usize,
    },
    /// The peer closed the connection.
    #[snafu(display("the peer closed the connection"))]
    Closed,
    /// The handshake failed, so the peer is not authenticated.
    #[snafu(display("the handshake failed: {failure}"))]
    Handshake {
        /// Cause of the failure.
        failure: HandshakeFailure,
    },
    /// The tag of a frame is invalid: the peer of the handshake did not send it, or not in this
    /// order.
    #[snafu(display("a frame failed authentication"))]
    Forged,
}

/// Why a handshake failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum HandshakeFailure {
    /// The peer did not prove that it holds one of this process's keys.
    #[snafu(display("the peer holds none of the keys"))]
    WrongKey,
    /// The peer sent something other than a handshake of this version.
    #[snafu(display("the peer sent no handshake of this protocol version"))]
    Malformed,
    /// The peer did not complete the handshake in time.
    #[snafu(display("the peer did not complete the handshake in time"))]
    TimedOut,
}
