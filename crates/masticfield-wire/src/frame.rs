//! Messages in frames over a stream.

use std::marker::PhantomData;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::{TcpStream, ToSocketAddrs};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::WireError;
use crate::error::{DecodeSnafu, EncodeSnafu, IoSnafu, VersionSnafu};

/// Version of the protocols between masticfield processes.
pub const WIRE_VERSION: u8 = 1;

/// Largest body of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// A stream of messages: `In` is received and `Out` is sent.
#[derive(Debug)]
pub struct Connection<In, Out> {
    reader: FrameReader<In>,
    writer: FrameWriter<Out>,
}

/// The receiving half of a [`Connection`].
#[derive(Debug)]
pub struct FrameReader<In> {
    frames: FramedRead<ReadHalf<TcpStream>, LengthDelimitedCodec>,
    messages: PhantomData<fn() -> In>,
}

/// The sending half of a [`Connection`].
#[derive(Debug)]
pub struct FrameWriter<Out> {
    frames: FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
    messages: PhantomData<fn(Out)>,
}

impl<In: DeserializeOwned, Out: Serialize> Connection<In, Out> {
    /// Connects to a peer.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached.
    pub async fn connect(address: impl ToSocketAddrs) -> Result<Self, WireError> {
        Self::new(TcpStream::connect(address).await.context(IoSnafu)?)
    }

    /// Wraps an accepted stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream is closed already.
    pub fn new(stream: TcpStream) -> Result<Self, WireError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        let (read, write) = tokio::io::split(stream);
        let frames = FramedRead::new(read, codec());
        let reader = FrameReader {
            frames,
            messages: PhantomData,
        };
        let frames = FramedWrite::new(write, codec());
        let writer = FrameWriter {
            frames,
            messages: PhantomData,
        };
        Ok(Self { reader, writer })
    }

    /// Receives a message, as [`FrameReader::receive`] does.
    ///
    /// # Errors
    ///
    /// As [`FrameReader::receive`].
    pub async fn receive(&mut self) -> Result<In, WireError> {
        self.reader.receive().await
    }

    /// Sends a message, as [`FrameWriter::send`] does.
    ///
    /// # Errors
    ///
    /// As [`FrameWriter::send`].
    pub async fn send(&mut self, msg: &Out) -> Result<(), WireError> {
        self.writer.send(msg).await
    }

    /// Parts the connection into its halves.
    pub fn split(self) -> (FrameReader<In>, FrameWriter<Out>) {
        (self.reader, self.writer)
    }
}

impl<In: DeserializeOwned> FrameReader<In> {
    /// Receives a message. Cancelling the future loses nothing.
    ///
    /// # Errors
    ///
    /// Fails if the peer closed the connection, or sent what is no message.
    pub async fn receive(&mut self) -> Result<In, WireError> {
        let frame = self
            .frames
            .next()
            .await
            .ok_or(WireError::Closed)?
            .context(IoSnafu)?;
        let (theirs, body) = frame.split_first().ok_or(WireError::Empty)?;
        if *theirs != WIRE_VERSION {
            return VersionSnafu {
                theirs: *theirs,
                ours: WIRE_VERSION,
            }
            .fail();
        }
        postcard::from_bytes(body).context(DecodeSnafu)
    }
}

impl<Out: Serialize> FrameWriter<Out> {
    /// Sends a message.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed, or the message is over [`MAX_FRAME_BYTES`].
    pub async fn send(&mut self, msg: &Out) -> Result<(), WireError> {
        let buf = postcard::to_extend(msg, vec![WIRE_VERSION]).context(EncodeSnafu)?;
        self.frames.send(Bytes::from(buf)).await.context(IoSnafu)
    }
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
