//! Handshake by which both sides prove that they hold a common key.
//!
//! The client sends a nonce. The server responds with its own nonce and a proof for each of its
//! keys; the client picks a key that both hold and sends its proof for it. A proof covers both
//! nonces and the role of its sender, so that it can be neither replayed nor reflected. Nothing is
//! encrypted.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::ResultExt;
use tokio::io::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::error::IoSnafu;
use crate::frame::{FramedStream, WIRE_VERSION};
use crate::frame_auth::FrameAuth;
use crate::keys::{Keys, MAX_KEYS, mac};
use crate::{HandshakeFailure, WireError};

/// Maximum size of a frame of the handshake, in bytes.
pub(crate) const MAX_HANDSHAKE_BYTES: usize = 256;

/// Timeout for the whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

type Nonce = [u8; 32];
type Proof = [u8; 32];

/// First message, from the client.
#[derive(Debug, Serialize, Deserialize)]
struct ClientNonce {
    nonce: Nonce,
}

/// Second message, from the server.
#[derive(Debug, Serialize, Deserialize)]
struct ServerProofs {
    nonce: Nonce,
    /// One proof for each key of the server.
    proofs: Vec<Proof>,
}

/// Last message, from the client.
#[derive(Debug, Serialize, Deserialize)]
struct ClientProof {
    proof: Proof,
}

/// Nonces of both sides.
#[derive(Debug, Clone, Copy)]
struct Nonces {
    client: Nonce,
    server: Nonce,
}

/// Authentication of the frames that follow the handshake, as one side uses it.
#[derive(Debug)]
pub(crate) struct ConnectionAuth {
    pub(crate) receive: FrameAuth,
    pub(crate) send: FrameAuth,
}

/// Runs the handshake as the client, on a connection that this process opened.
pub(crate) async fn connect(
    stream: &mut FramedStream,
    keys: &Keys,
) -> Result<ConnectionAuth, WireError> {
    with_timeout(run_client(stream, keys)).await
}

/// Runs the handshake as the server, on a connection that this process accepted.
pub(crate) async fn accept(
    stream: &mut FramedStream,
    keys: &Keys,
) -> Result<ConnectionAuth, WireError> {
    with_timeout(run_server(stream, keys)).await
}

async fn with_timeout(
    handshake: impl Future<Output = Result<ConnectionAuth, WireError>>,
) -> Result<ConnectionAuth, WireError> {
    let result = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    result.map_err(|_elapsed| failed(HandshakeFailure::TimedOut))?
}

async fn run_client(stream: &mut FramedStream, keys: &Keys) -> Result<ConnectionAuth, WireError> {
    let client = rand::random();
    send(&mut stream.write, &ClientNonce { nonce: client }).await?;
    let response: ServerProofs = receive(&mut stream.read).await?;
    if response.proofs.len() > MAX_KEYS {
        return Err(failed(HandshakeFailure::Malformed));
    }
    let nonces = Nonces {
        client,
        server: response.nonce,
    };
    let is_proven = |key: &Hmac<Sha256>| {
        let mut proofs = response.proofs.iter();
        proofs.any(|proof| nonces.verify(key, b"server", proof))
    };
    let key = keys.macs().find(is_proven);
    let key = key.ok_or_else(|| failed(HandshakeFailure::WrongKey))?;
    let proof = nonces.prove(&key, b"client");
    send(&mut stream.write, &ClientProof { proof }).await?;
    Ok(ConnectionAuth {
        receive: nonces.frame_auth(&key, b"server to client"),
        send: nonces.frame_auth(&key, b"client to server"),
    })
}

async fn run_server(stream: &mut FramedStream, keys: &Keys) -> Result<ConnectionAuth, WireError> {
    let ClientNonce { nonce: client } = receive(&mut stream.read).await?;
    let nonces = Nonces {
        client,
        server: rand::random(),
    };
    let proofs = keys.macs().map(|key| nonces.prove(&key, b"server"));
    let response = ServerProofs {
        nonce: nonces.server,
        proofs: proofs.collect(),
    };
    send(&mut stream.write, &response).await?;
    let ClientProof { proof } = receive(&mut stream.read).await?;
    let key = keys
        .macs()
        .find(|key| nonces.verify(key, b"client", &proof));
    let key = key.ok_or_else(|| failed(HandshakeFailure::WrongKey))?;
    Ok(ConnectionAuth {
        receive: nonces.frame_auth(&key, b"client to server"),
        send: nonces.frame_auth(&key, b"server to client"),
    })
}

impl Nonces {
    fn mac(&self, key: &Hmac<Sha256>, purpose: &[u8]) -> Hmac<Sha256> {
        let mut mac = key.clone();
        mac.update(&[WIRE_VERSION]);
        mac.update(purpose);
        mac.update(&self.client);
        mac.update(&self.server);
        mac
    }

    fn prove(&self, key: &Hmac<Sha256>, purpose: &[u8]) -> Proof {
        self.mac(key, purpose).finalize().into_bytes().into()
    }

    fn verify(&self, key: &Hmac<Sha256>, purpose: &[u8], proof: &Proof) -> bool {
        self.mac(key, purpose).verify_slice(proof).is_ok()
    }

    /// Derives the key of one direction of the connection.
    fn frame_auth(&self, key: &Hmac<Sha256>, direction: &[u8]) -> FrameAuth {
        FrameAuth::new(mac(&self.prove(key, direction)))
    }
}

async fn send<M: Serialize>(
    write: &mut FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
    message: &M,
) -> Result<(), WireError> {
    let body = postcard::to_extend(message, vec![WIRE_VERSION]);
    let body = body.map_err(|_unencodable| failed(HandshakeFailure::Malformed))?;
    write.send(Bytes::from(body)).await.context(IoSnafu)
}

async fn receive<M: DeserializeOwned>(
    read: &mut FramedRead<ReadHalf<TcpStream>, LengthDelimitedCodec>,
) -> Result<M, WireError> {
    let frame: BytesMut = read
        .next()
        .await
        .ok_or(WireError::Closed)?
        .context(IoSnafu)?;
    let malformed = || failed(HandshakeFailure::Malformed);
    let (version, body) = frame.split_first().ok_or_else(malformed)?;
    if *version != WIRE_VERSION {
        return Err(malformed());
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(message),
        _ => Err(malformed()),
    }
}

const fn failed(failure: HandshakeFailure) -> WireError {
    WireError::Handshake { failure }
}
