//! The task that receives datagrams from peers.

use std::sync::Arc;
use std::time::Duration;

use masticfield_wire::datagram;
use tokio::net::UdpSocket;
use xtra::WeakAddress;

use super::metrics::PeerMetrics;
use super::peer_actor::{PeerActor, Received};

/// Room for a datagram, in bytes; more than any peer sends.
const RECEIVE_BYTES: usize = 2_048;

/// Pause after the socket failed.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Hands every message to the actor until it is gone.
pub(super) async fn receive(
    socket: Arc<UdpSocket>,
    peers: WeakAddress<PeerActor>,
    metrics: PeerMetrics,
) {
    let mut buf = [0; RECEIVE_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _from)) => len,
            Err(error) => {
                log::debug!(error:%; "no datagram was received");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        metrics.received.inc();
        metrics
            .received_bytes
            .inc_by(u64::try_from(len).unwrap_or_default());
        match datagram::decode(&buf[..len]) {
            Ok(msg) => {
                if peers.send(Received(msg)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                metrics.refused.inc();
                log::debug!(error:%; "a datagram was refused");
            }
        }
    }
}
