//! Incoming connections from peers.

use std::time::Duration;

use masticfield_wire::{Connection, Keys, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::message::PeerMessage;
use crate::Identity;

/// Maximum number of open connections; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 64;

/// Timeout for the first message on a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without a message after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and forwards their messages until the receiver is dropped.
pub(super) async fn run(listener: TcpListener, keys: Option<Keys>, tx: mpsc::Sender<PeerMessage>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = tx.closed() => return,
            Some(_ended) = connections.join_next() => {}
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, keys.clone(), tx.clone()));
                }
            }
        }
    }
}

type PeerConnection = Connection<PeerMessage, PeerMessage>;

async fn serve(stream: TcpStream, keys: Option<Keys>, tx: mpsc::Sender<PeerMessage>) {
    if let Err(error) = receive_all(stream, keys, tx).await {
        log::debug!(error:%; "connection from a peer ended");
    }
}

async fn receive_all(
    stream: TcpStream,
    keys: Option<Keys>,
    tx: mpsc::Sender<PeerMessage>,
) -> Result<(), WireError> {
    let mut connection = PeerConnection::accept_with(stream, keys.as_ref()).await?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, connection.receive()).await;
    let Ok(hello) = hello else {
        return Ok(());
    };
    let PeerMessage::Hello(hello) = hello? else {
        return Ok(());
    };
    let peer = hello.identity;
    let mut message = PeerMessage::Hello(hello);
    while is_allowed(&message, peer) && tx.send(message).await.is_ok() {
        let received = tokio::time::timeout(IDLE_TIMEOUT, connection.receive()).await;
        let Ok(received) = received else {
            return Ok(());
        };
        message = received?;
    }
    Ok(())
}

/// Whether the peer of a connection is allowed to send this message.
///
/// A peer must not speak for other replicas, nor announce a group that it is not in.
fn is_allowed(message: &PeerMessage, peer: Identity) -> bool {
    match message {
        PeerMessage::Hello(hello) => hello.identity == peer,
        PeerMessage::Consensus(envelope) => envelope.from == peer,
        PeerMessage::Bootstrap(members) => members.is_voter(peer),
        PeerMessage::Members(members) => members.contains(peer),
    }
}
