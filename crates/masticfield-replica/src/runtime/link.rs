//! Outgoing connections to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_wire::{Connection, Keys, WireError};
use tokio::sync::{mpsc, watch};
use tokio::task::AbortHandle;

use super::message::{Hello, PeerMessage};
use super::traffic::TrafficCounter;

/// Maximum number of messages queued for a peer; further ones are dropped.
const MAX_QUEUED: usize = 256;

/// Delay before the next attempt to connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Timeout for connecting and sending the hello.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for writing a message to the socket, after which the connection is replaced.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends messages to one peer, and reconnects when the connection is lost.
#[derive(Debug)]
pub(super) struct Link {
    address: SocketAddr,
    tx: mpsc::Sender<PeerMessage>,
    task: AbortHandle,
}

impl Link {
    /// Starts a link, which sends the current `hello` first on each connection.
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

    /// Address that the link connects to.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Queues a message, or drops it if the queue is full.
    pub(super) fn send(&self, message: PeerMessage) {
        // The consensus resends what is lost.
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
            tokio::time::sleep(RECONNECT_DELAY).await;
            // Messages that were queued without a connection are out of date.
            while rx.try_recv().is_ok() {}
            continue;
        };
        while let Some(message) = rx.recv().await {
            let sent_before = connection.sent_bytes();
            let sent = tokio::time::timeout(SEND_TIMEOUT, connection.send(&message)).await;
            traffic.add(connection.sent_bytes() - sent_before);
            if !matches!(sent, Ok(Ok(()))) {
                break;
            }
        }
    }
}

type PeerConnection = Connection<PeerMessage, PeerMessage>;

async fn connect(
    address: SocketAddr,
    hello: Hello,
    keys: Option<&Keys>,
) -> Result<PeerConnection, WireError> {
    let mut connection = PeerConnection::connect_with(address, keys).await?;
    connection.send(&PeerMessage::Hello(hello)).await?;
    Ok(connection)
}
