//! Connections that carry messages in frames over TCP.

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
use crate::frame_auth::FrameAuth;
use crate::handshake::{self, ConnectionAuth, MAX_HANDSHAKE_BYTES};
use crate::keys::Keys;
use crate::user_timeout::set_user_timeout;

/// Version of the protocols between masticfield processes; other versions are refused.
pub const WIRE_VERSION: u8 = 1;

/// Maximum size of a frame without its length prefix, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Size of the length prefix of a frame, in bytes.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Connection to a peer, on which messages of type `In` are received and `Out` are sent.
#[derive(Debug)]
pub struct Connection<In, Out> {
    reader: FrameReader<In>,
    writer: FrameWriter<Out>,
}

/// Receiving half of a [`Connection`].
#[derive(Debug)]
pub struct FrameReader<In> {
    frames: FramedRead<ReadHalf<TcpStream>, LengthDelimitedCodec>,
    /// Verifies frames; `None` without a handshake.
    auth: Option<FrameAuth>,
    messages: PhantomData<fn() -> In>,
}

/// Sending half of a [`Connection`].
#[derive(Debug)]
pub struct FrameWriter<Out> {
    frames: FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
    /// Signs frames; `None` without a handshake.
    auth: Option<FrameAuth>,
    messages: PhantomData<fn(Out)>,
    sent_bytes: u64,
}

/// A TCP stream that is split into frames in both directions.
#[derive(Debug)]
pub(crate) struct FramedStream {
    pub(crate) read: FramedRead<ReadHalf<TcpStream>, LengthDelimitedCodec>,
    pub(crate) write: FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
}

impl<In: DeserializeOwned, Out: Serialize> Connection<In, Out> {
    /// Connects to a peer without authentication.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached.
    pub async fn connect(address: impl ToSocketAddrs) -> Result<Self, WireError> {
        Self::new(TcpStream::connect(address).await.context(IoSnafu)?)
    }

    /// Wraps an accepted stream without authentication.
    ///
    /// # Errors
    ///
    /// Fails if the stream is already closed.
    pub fn new(stream: TcpStream) -> Result<Self, WireError> {
        Ok(Self::from_framed(
            FramedStream::new(stream, MAX_FRAME_BYTES)?,
            None,
        ))
    }

    /// Connects to a peer with mutual authentication by a common key.
    ///
    /// All later frames are authenticated, but not encrypted.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached, holds none of the keys, or takes too long.
    pub async fn connect_authenticated(
        address: impl ToSocketAddrs,
        keys: &Keys,
    ) -> Result<Self, WireError> {
        let stream = TcpStream::connect(address).await.context(IoSnafu)?;
        let mut framed = FramedStream::new(stream, MAX_HANDSHAKE_BYTES)?;
        let auth = handshake::connect(&mut framed, keys).await?;
        Ok(Self::from_framed(framed, Some(auth)))
    }

    /// Wraps an accepted stream with mutual authentication by a common key.
    ///
    /// # Errors
    ///
    /// Fails if the peer holds none of the keys or takes too long.
    pub async fn accept_authenticated(stream: TcpStream, keys: &Keys) -> Result<Self, WireError> {
        let mut framed = FramedStream::new(stream, MAX_HANDSHAKE_BYTES)?;
        let auth = handshake::accept(&mut framed, keys).await?;
        Ok(Self::from_framed(framed, Some(auth)))
    }

    /// Connects to a peer, with authentication if `keys` is given.
    ///
    /// # Errors
    ///
    /// As [`connect`](Self::connect) and [`connect_authenticated`](Self::connect_authenticated).
    pub async fn connect_with(
        address: impl ToSocketAddrs,
        keys: Option<&Keys>,
    ) -> Result<Self, WireError> {
        match keys {
            Some(keys) => Self::connect_authenticated(address, keys).await,
            None => Self::connect(address).await,
        }
    }

    /// Wraps an accepted stream, with authentication if `keys` is given.
    ///
    /// # Errors
    ///
    /// As [`new`](Self::new) and [`accept_authenticated`](Self::accept_authenticated).
    pub async fn accept_with(stream: TcpStream, keys: Option<&Keys>) -> Result<Self, WireError> {
        match keys {
            Some(keys) => Self::accept_authenticated(stream, keys).await,
            None => Self::new(stream),
        }
    }

    fn from_framed(framed: FramedStream, auth: Option<ConnectionAuth>) -> Self {
        let FramedStream {
            mut read,
            mut write,
        } = framed;
        read.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
        write.encoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
        let (receive, send) =
            auth.map_or((None, None), |auth| (Some(auth.receive), Some(auth.send)));
        let reader = FrameReader {
            frames: read,
            auth: receive,
            messages: PhantomData,
        };
        let writer = FrameWriter {
            frames: write,
            auth: send,
            messages: PhantomData,
            sent_bytes: 0,
        };
        Self { reader, writer }
    }

    /// Receives the next message; see [`FrameReader::receive`].
    ///
    /// # Errors
    ///
    /// As [`FrameReader::receive`].
    pub async fn receive(&mut self) -> Result<In, WireError> {
        self.reader.receive().await
    }

    /// Sends a message; see [`FrameWriter::send`].
    ///
    /// # Errors
    ///
    /// As [`FrameWriter::send`].
    pub async fn send(&mut self, msg: &Out) -> Result<(), WireError> {
        self.writer.send(msg).await
    }

    /// Bytes sent so far; see [`FrameWriter::sent_bytes`].
    pub const fn sent_bytes(&self) -> u64 {
        self.writer.sent_bytes
    }

    /// Splits the connection into its receiving and sending half.
    pub fn split(self) -> (FrameReader<In>, FrameWriter<Out>) {
        (self.reader, self.writer)
    }
}

impl<In: DeserializeOwned> FrameReader<In> {
    /// Receives the next message.
    ///
    /// Cancelling the future loses no message.
    ///
    /// # Errors
    ///
    /// Fails if the peer closed the connection, or sent a frame that is too large, fails
    /// authentication, has another version, or does not decode.
    pub async fn receive(&mut self) -> Result<In, WireError> {
        let frame = self
            .frames
            .next()
            .await
            .ok_or(WireError::Closed)?
            .context(IoSnafu)?;
        let frame = match &mut self.auth {
            Some(auth) => auth.verify(&frame)?,
            None => &frame,
        };
        let (version, body) = frame.split_first().ok_or(WireError::Empty)?;
        if *version != WIRE_VERSION {
            return VersionSnafu {
                peer: *version,
                own: WIRE_VERSION,
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
    /// Fails if the connection is closed, or if the message cannot be encoded or exceeds
    /// [`MAX_FRAME_BYTES`].
    pub async fn send(&mut self, msg: &Out) -> Result<(), WireError> {
        let mut buf = postcard::to_extend(msg, vec![WIRE_VERSION]).context(EncodeSnafu)?;
        if let Some(auth) = &mut self.auth {
            auth.sign(&mut buf);
        }
        self.sent_bytes += (LENGTH_PREFIX_BYTES + buf.len()) as u64;
        self.frames.send(Bytes::from(buf)).await.context(IoSnafu)
    }

    /// Bytes of all frames sent, with length prefixes and without the handshake and TCP headers.
    pub const fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }
}

impl FramedStream {
    fn new(stream: TcpStream, max_bytes: usize) -> Result<Self, WireError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        set_user_timeout(&stream).context(IoSnafu)?;
        let (read, write) = tokio::io::split(stream);
        let codec = || {
            LengthDelimitedCodec::builder()
                .max_frame_length(max_bytes)
                .new_codec()
        };
        Ok(Self {
            read: FramedRead::new(read, codec()),
            write: FramedWrite::new(write, codec()),
        })
    }
}
