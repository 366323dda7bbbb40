//! The datagrams between entries, and the task that receives them.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::EntryId;
use masticfield_routing::membership::PeerMessage;
use masticfield_routing::slots::SlotMessage;
use masticfield_wire::datagram;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use xtra::{Address, WeakAddress};

use super::metrics::PeerMetrics;
use super::peer_actor::{PeerActor, Received};
use crate::router::{ReceiveSlots, RouterActor};

/// Room for a datagram, in bytes; more than any peer sends.
const RECEIVE_BYTES: usize = 2_048;

/// Pause after the socket failed.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// What entries send each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// About entries and upstreams.
    Membership(PeerMessage),
    /// About the slots of executors.
    Slots(EntryId, SlotMessage),
}

/// Hands every message to the actor that it is for, until that is gone.
pub(super) async fn receive(
    socket: Arc<UdpSocket>,
    peers: WeakAddress<PeerActor>,
    router: Address<RouterActor>,
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
        let bytes = u64::try_from(len).unwrap_or_default();
        metrics.received_bytes.inc_by(bytes);
        let handed_over = match datagram::decode(&buf[..len]) {
            Ok(Datagram::Membership(msg)) => peers.send(Received(msg)).await.is_ok(),
            Ok(Datagram::Slots(from, msg)) => router.send(ReceiveSlots(from, msg)).await.is_ok(),
            Err(error) => {
                metrics.refused.inc();
                log::debug!(error:%; "a datagram was refused");
                true
            }
        };
        if !handed_over {
            return;
        }
    }
}
