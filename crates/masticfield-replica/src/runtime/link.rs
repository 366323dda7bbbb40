//! The sending side of the connections to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_wire::{Connection, Keys, WireError};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

use super::message::{Hello, PeerMessage};
use super::traffic::TrafficCounter;

/// Messages that wait for a connection, at most; more are lost.
const MAX_QUEUED: usize = 256;

/// Wait before the next attempt to connect.
const RECONNECT: Duration = Duration::from_millis(100);

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a message to be taken by the network.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends messages to one peer and connects again when the connection is lost.
#[derive(Debug)]
pub(super) struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<PeerMessage>,
    task: AbortHandle,
}

impl Link {
    /// Starts a link, which says `hello` first on each connection.
    pub(super) fn spawn(
        address: SocketAddr,
        hello: watch::Receiver<Hello>,
        keys: Option<Keys>,
        traffic: Arc<TrafficCounter>,
    ) -> Self {
        let (tx, rx) = mpsc::channel(MAX_QUEUED);
        let task = tokio::spawn(run(address, hello, rx, keys, traffic)).abort_handle();
        Self { address, tx, task }
    }

    /// Address of the peer.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a message, or loses it if too many wait.
    pub(super) fn send(&self, message: PeerMessage) {
        // Replication repeats what is lost.
        drop(self.tx.try_send(message));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(
    address: SocketAddr,
    hello: watch::Receiver<Hello>,
    mut rx: mpsc::Receiver<PeerMessage>,
    keys: Option<Keys>,
    traffic: Arc<TrafficCounter>,
) {
    while !rx.is_closed() {
        let hello = hello.borrow().clone();
        let Ok(Ok(mut connection)) =
            tokio::time::timeout(CONNECT_TIMEOUT, connect(address, hello, keys.as_ref())).await
        else {
            tokio::time::sleep(RECONNECT).await;
            // What waited so long is out of date.
            while rx.try_recv().is_ok() {}
            continue;
        };
        while let Some(message) = rx.recv().await {
            let before = connection.sent_bytes();
            let sent = tokio::time::timeout(SEND_TIMEOUT, connection.send(&message)).await;
            traffic.add(connection.sent_bytes() - before);
            if !matches!(sent, Ok(Ok(()))) {
                break;
            }
        }
    }
}

type Peer = Connection<PeerMessage, PeerMessage>;

async fn connect(
    address: SocketAddr,
    hello: Hello,
    keys: Option<&Keys>,
) -> Result<Peer, WireError> {
    let mut connection = Peer::connect_with(address, keys).await?;
    connection.send(&PeerMessage::Hello(hello)).await?;
    Ok(connection)
}
