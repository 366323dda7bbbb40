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
use super::peer_actor::{PeerActor, ReceivePeerMessage};
use crate::router::{ReceiveSlotMessage, RouterActor};

/// Size of the receive buffer, in bytes; larger than any datagram of a peer.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// Pause after the socket failed.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// A message between entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Datagram {
    /// A message of the membership protocol.
    Membership(PeerMessage),
    /// A message about the slots of executors, with its sender.
    Slots(EntryId, SlotMessage),
}

/// Receives datagrams and passes each to the actor that handles it, until that actor has stopped.
pub(super) async fn receive(
    socket: Arc<UdpSocket>,
    peers: WeakAddress<PeerActor>,
    router: Address<RouterActor>,
    metrics: PeerMetrics,
) {
    let mut buf = [0; RECEIVE_BUFFER_BYTES];
    loop {
        let len = match socket.recv_from(&mut buf).await {
            Ok((len, _from)) => len,
            Err(error) => {
                log::debug!(error:%; "receiving a datagram failed");
                tokio::time::sleep(ERROR_PAUSE).await;
                continue;
            }
        };
        metrics.received.inc();
        let bytes = u64::try_from(len).unwrap_or_default();
        metrics.received_bytes.inc_by(bytes);
        let actor_runs = match datagram::decode(&buf[..len]) {
            Ok(Datagram::Membership(msg)) => peers.send(ReceivePeerMessage(msg)).await.is_ok(),
            Ok(Datagram::Slots(from, msg)) => {
                router.send(ReceiveSlotMessage(from, msg)).await.is_ok()
            }
            Err(error) => {
                metrics.refused.inc();
                log::debug!(error:%; "a datagram could not be decoded");
                true
            }
        };
        if !actor_runs {
            return;
        }
    }
}
