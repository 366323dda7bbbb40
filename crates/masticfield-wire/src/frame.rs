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
use crate::handshake::{self, MAX_HANDSHAKE_BYTES, Sessions};
use crate::keys::Keys;
use crate::session::Session;
use crate::silence::fail_on_silence;

/// Version of the protocols between masticfield processes.
pub const WIRE_VERSION: u8 = 1;

/// Largest body of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;

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
    session: Option<Session>,
    messages: PhantomData<fn() -> In>,
}

/// The sending half of a [`Connection`].
#[derive(Debug)]
pub struct FrameWriter<Out> {
    frames: FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
    session: Option<Session>,
    messages: PhantomData<fn(Out)>,
    sent_bytes: u64,
}

/// The frames of both directions of a stream.
#[derive(Debug)]
pub(crate) struct Frames {
    pub(crate) read: FramedRead<ReadHalf<TcpStream>, LengthDelimitedCodec>,
    pub(crate) write: FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
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
        Ok(Self::from_frames(
            Frames::new(stream, MAX_FRAME_BYTES)?,
            None,
        ))
    }

    /// Connects to a peer, and each proves to the other that it holds one of the keys.
    ///
    /// Each frame is then authenticated, and none is encrypted.
    ///
    /// # Errors
    ///
    /// Fails if the peer cannot be reached or proves no key.
    pub async fn connect_keyed(
        address: impl ToSocketAddrs,
        keys: &Keys,
    ) -> Result<Self, WireError> {
        let stream = TcpStream::connect(address).await.context(IoSnafu)?;
        let mut frames = Frames::new(stream, MAX_HANDSHAKE_BYTES)?;
        let sessions = handshake::connect(&mut frames, keys).await?;
        Ok(Self::from_frames(frames, Some(sessions)))
    }

    /// Wraps an accepted stream, and each proves to the other that it holds one of the keys.
    ///
    /// # Errors
    ///
    /// Fails if the peer proves no key or takes too long.
    pub async fn accept_keyed(stream: TcpStream, keys: &Keys) -> Result<Self, WireError> {
        let mut frames = Frames::new(stream, MAX_HANDSHAKE_BYTES)?;
        let sessions = handshake::accept(&mut frames, keys).await?;
        Ok(Self::from_frames(frames, Some(sessions)))
    }

    /// Connects to a peer, with a proof of keys if there are some.
    ///
    /// # Errors
    ///
    /// As [`connect`](Self::connect) and [`connect_keyed`](Self::connect_keyed).
    pub async fn connect_with(
        address: impl ToSocketAddrs,
        keys: Option<&Keys>,
    ) -> Result<Self, WireError> {
        match keys {
            Some(keys) => Self::connect_keyed(address, keys).await,
            None => Self::connect(address).await,
        }
    }

    /// Wraps an accepted stream, with a proof of keys if there are some.
    ///
    /// # Errors
    ///
    /// As [`new`](Self::new) and [`accept_keyed`](Self::accept_keyed).
    pub async fn accept_with(stream: TcpStream, keys: Option<&Keys>) -> Result<Self, WireError> {
        match keys {
            Some(keys) => Self::accept_keyed(stream, keys).await,
            None => Self::new(stream),
        }
    }

    fn from_frames(frames: Frames, sessions: Option<Sessions>) -> Self {
        let Frames {
            mut read,
            mut write,
        } = frames;
        read.decoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
        write.encoder_mut().set_max_frame_length(MAX_FRAME_BYTES);
        let (receive, send) = sessions.map_or((None, None), |sessions| {
            (Some(sessions.receive), Some(sessions.send))
        });
        let reader = FrameReader {
            frames: read,
            session: receive,
            messages: PhantomData,
        };
        let writer = FrameWriter {
            frames: write,
            session: send,
            messages: PhantomData,
            sent_bytes: 0,
        };
        Self { reader, writer }
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

    /// Bytes of all frames sent, as [`FrameWriter::sent_bytes`] counts them.
    pub const fn sent_bytes(&self) -> u64 {
        self.writer.sent_bytes
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
        let frame = match &mut self.session {
            Some(session) => session.check(&frame)?,
            None => &frame,
        };
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
        let mut buf = postcard::to_extend(msg, vec![WIRE_VERSION]).context(EncodeSnafu)?;
        if let Some(session) = &mut self.session {
            session.sign(&mut buf);
        }
        self.sent_bytes += (LENGTH_BYTES + buf.len()) as u64;
        self.frames.send(Bytes::from(buf)).await.context(IoSnafu)
    }

    /// Bytes of all frames sent, with their lengths and without the headers of TCP.
    pub const fn sent_bytes(&self) -> u64 {
        self.sent_bytes
    }
}

impl Frames {
    fn new(stream: TcpStream, max_bytes: usize) -> Result<Self, WireError> {
        stream.set_nodelay(true).context(IoSnafu)?;
        fail_on_silence(&stream).context(IoSnafu)?;
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
