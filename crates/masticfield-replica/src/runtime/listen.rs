//! The receiving side of the connections from peers.

use std::time::Duration;

use masticfield_wire::{Connection, Keys, WireError};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::message::PeerMessage;
use crate::Identity;

/// Connections that are open at once, at most.
const MAX_CONNECTIONS: usize = 64;

/// Longest wait for the first message of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest silence before a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections and passes their messages on until the receiver is dropped.
pub(super) async fn run(listener: TcpListener, keys: Option<Keys>, tx: mpsc::Sender<PeerMessage>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = tx.closed() => return,
            Some(_ended) = connections.join_next() => {}
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(receive_all(stream, keys.clone(), tx.clone()));
                }
            }
        }
    }
}

type Peer = Connection<PeerMessage, PeerMessage>;

async fn receive_all(stream: TcpStream, keys: Option<Keys>, tx: mpsc::Sender<PeerMessage>) {
    if let Err(error) = receive(stream, keys, tx).await {
        log::debug!(error:%; "a connection from a peer ended");
    }
}

async fn receive(
    stream: TcpStream,
    keys: Option<Keys>,
    tx: mpsc::Sender<PeerMessage>,
) -> Result<(), WireError> {
    let mut connection = Peer::accept_with(stream, keys.as_ref()).await?;
    let hello = tokio::time::timeout(HELLO_TIMEOUT, connection.receive()).await;
    let Ok(hello) = hello else {
        return Ok(());
    };
    let PeerMessage::Hello(hello) = hello? else {
        return Ok(());
    };
    let peer = hello.identity;
    let mut message = PeerMessage::Hello(hello);
    while is_from(&message, peer) && tx.send(message).await.is_ok() {
        let received = tokio::time::timeout(IDLE_TIMEOUT, connection.receive()).await;
        let Ok(received) = received else {
            return Ok(());
        };
        message = received?;
    }
    Ok(())
}

/// Whether a message speaks for the peer of its connection.
fn is_from(message: &PeerMessage, peer: Identity) -> bool {
    match message {
        PeerMessage::Hello(hello) => hello.identity == peer,
        PeerMessage::Replica(envelope) => envelope.from == peer,
        PeerMessage::Found(members) => members.is_voter(peer),
        PeerMessage::Group(members) => members.contains(peer),
    }
}
