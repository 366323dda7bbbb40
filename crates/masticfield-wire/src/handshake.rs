//! The handshake in which both sides prove that they hold a key.
//!
//! The client sends a nonce. The server answers with its own nonce and a proof for each of its
//! keys, and the client proves the key that both have. Proofs cover both nonces and the side,
//! so that none can be used again or sent back. Nothing is encrypted.

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
use crate::frame::{Frames, WIRE_VERSION};
use crate::keys::{Keys, MAX_KEYS, code};
use crate::session::Session;
use crate::{HandshakeFailure, WireError};

/// Largest frame of the handshake, in bytes.
pub(crate) const MAX_HANDSHAKE_BYTES: usize = 256;

/// Longest time for the whole handshake.
const TIMEOUT: Duration = Duration::from_secs(2);

type Nonce = [u8; 32];
type Proof = [u8; 32];

/// What the client sends first.
#[derive(Debug, Serialize, Deserialize)]
struct ClientNonce {
    nonce: Nonce,
}

/// What the server answers.
#[derive(Debug, Serialize, Deserialize)]
struct ServerProofs {
    nonce: Nonce,
    /// One for each key of the server.
    proofs: Vec<Proof>,
}

/// What the client sends last.
#[derive(Debug, Serialize, Deserialize)]
struct ClientProof {
    proof: Proof,
}

/// The nonces of both sides.
#[derive(Debug, Clone, Copy)]
struct Nonces {
    client: Nonce,
    server: Nonce,
}

/// The sessions of the two directions, as one side sees them.
#[derive(Debug)]
pub(crate) struct Sessions {
    pub(crate) receive: Session,
    pub(crate) send: Session,
}

/// Proves a key to the server that this process has connected to.
pub(crate) async fn connect(frames: &mut Frames, keys: &Keys) -> Result<Sessions, WireError> {
    within_timeout(prove_to_server(frames, keys)).await
}

/// Lets a client prove a key.
pub(crate) async fn accept(frames: &mut Frames, keys: &Keys) -> Result<Sessions, WireError> {
    within_timeout(prove_to_client(frames, keys)).await
}

async fn within_timeout(
    handshake: impl Future<Output = Result<Sessions, WireError>>,
) -> Result<Sessions, WireError> {
    let result = tokio::time::timeout(TIMEOUT, handshake).await;
    result.map_err(|_elapsed| failed(HandshakeFailure::TimedOut))?
}

async fn prove_to_server(frames: &mut Frames, keys: &Keys) -> Result<Sessions, WireError> {
    let client = rand::random();
    send(&mut frames.write, &ClientNonce { nonce: client }).await?;
    let answer: ServerProofs = receive(&mut frames.read).await?;
    if answer.proofs.len() > MAX_KEYS {
        return Err(failed(HandshakeFailure::Malformed));
    }
    let nonces = Nonces {
        client,
        server: answer.nonce,
    };
    let proven = |key: &Hmac<Sha256>| {
        let mut proofs = answer.proofs.iter();
        proofs.any(|proof| nonces.proves(key, b"server", proof))
    };
    let key = keys.codes().find(proven);
    let key = key.ok_or_else(|| failed(HandshakeFailure::WrongKey))?;
    let proof = nonces.derive(&key, b"client");
    send(&mut frames.write, &ClientProof { proof }).await?;
    Ok(Sessions {
        receive: nonces.session(&key, b"server to client"),
        send: nonces.session(&key, b"client to server"),
    })
}

async fn prove_to_client(frames: &mut Frames, keys: &Keys) -> Result<Sessions, WireError> {
    let ClientNonce { nonce: client } = receive(&mut frames.read).await?;
    let nonces = Nonces {
        client,
        server: rand::random(),
    };
    let proofs = keys.codes().map(|key| nonces.derive(&key, b"server"));
    let answer = ServerProofs {
        nonce: nonces.server,
        proofs: proofs.collect(),
    };
    send(&mut frames.write, &answer).await?;
    let ClientProof { proof } = receive(&mut frames.read).await?;
    let key = keys
        .codes()
        .find(|key| nonces.proves(key, b"client", &proof));
    let key = key.ok_or_else(|| failed(HandshakeFailure::WrongKey))?;
    Ok(Sessions {
        receive: nonces.session(&key, b"client to server"),
        send: nonces.session(&key, b"server to client"),
    })
}

impl Nonces {
    fn code(&self, key: &Hmac<Sha256>, purpose: &[u8]) -> Hmac<Sha256> {
        let mut code = key.clone();
        code.update(&[WIRE_VERSION]);
        code.update(purpose);
        code.update(&self.client);
        code.update(&self.server);
        code
    }

    fn derive(&self, key: &Hmac<Sha256>, purpose: &[u8]) -> Proof {
        self.code(key, purpose).finalize().into_bytes().into()
    }

    fn proves(&self, key: &Hmac<Sha256>, purpose: &[u8], proof: &Proof) -> bool {
        self.code(key, purpose).verify_slice(proof).is_ok()
    }

    fn session(&self, key: &Hmac<Sha256>, purpose: &[u8]) -> Session {
        Session::new(code(&self.derive(key, purpose)))
    }
}

async fn send<M: Serialize>(
    write: &mut FramedWrite<WriteHalf<TcpStream>, LengthDelimitedCodec>,
    message: &M,
) -> Result<(), WireError> {
    let body = postcard::to_extend(message, vec![WIRE_VERSION]);
    let body = body.map_err(|_unwritable| failed(HandshakeFailure::Malformed))?;
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
