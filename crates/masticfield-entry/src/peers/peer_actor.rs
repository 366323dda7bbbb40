//! The actor that carries out what the membership decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::EntryId;
use masticfield_core::kernel::ShutdownTrigger;
use masticfield_core::membership::Announcement;
use masticfield_routing::membership::{
    Action, AnnouncementRefusal, Input, Membership, PeerMessage,
};
use masticfield_routing::slots::SlotMessage;
use masticfield_wire::datagram;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use xtra::prelude::*;

use super::datagrams::Datagram;
use super::metrics::PeerMetrics;
use crate::router::{Learn, RouterActor};

/// Keeps the membership and tells the router what changes.
#[derive(Debug, Actor)]
pub(crate) struct PeerActor {
    me: EntryId,
    membership: Membership,
    socket: Arc<UdpSocket>,
    router: Address<RouterActor>,
    trigger: ShutdownTrigger,
    metrics: PeerMetrics,
    left: Vec<oneshot::Sender<()>>,
    /// Ends the tasks that listen to peers when the actor stops.
    _listening: oneshot::Sender<()>,
}

/// A tick of the membership's interval.
#[derive(Debug)]
pub(super) struct Tick;

/// A message from a peer.
#[derive(Debug)]
pub(super) struct Received(pub PeerMessage);

/// An upstream announced itself; the answer says when it is to announce itself again.
#[derive(Debug)]
pub(crate) struct Announced(pub Announcement);

/// The entry leaves; the receiver is told once every peer knows.
#[derive(Debug)]
pub(super) struct Leave;

/// Asks where a peer is reached.
#[derive(Debug)]
pub(crate) struct FindPeer(pub EntryId);

/// Sends a peer a message about slots; it may get lost.
#[derive(Debug)]
pub(super) struct SendSlots(pub EntryId, pub SlotMessage);

/// The answer to an announcement, if there is one among the actions.
type Announcing = Option<Result<Duration, AnnouncementRefusal>>;

impl PeerActor {
    /// Creates the actor of a membership.
    pub(super) const fn new(
        me: EntryId,
        membership: Membership,
        socket: Arc<UdpSocket>,
        router: Address<RouterActor>,
        trigger: ShutdownTrigger,
        metrics: PeerMetrics,
        listening: oneshot::Sender<()>,
    ) -> Self {
        Self {
            me,
            membership,
            socket,
            router,
            trigger,
            metrics,
            left: Vec::new(),
            _listening: listening,
        }
    }

    async fn step(&mut self, input: Input) -> Announcing {
        let mut announcing = None;
        for action in self.membership.step(Instant::now(), input) {
            match action {
                Action::Send { to, msg } => self.send(to, &Datagram::Membership(msg)),
                Action::Publish(event) => {
                    log::debug!(event:?; "the membership changed");
                    // A router that is gone sends nothing anywhere.
                    drop(self.router.send(Learn(event)).await);
                }
                Action::Accept { again_in } => announcing = Some(Ok(again_in)),
                Action::Refuse(refusal) => announcing = Some(Err(refusal)),
                Action::Left => self.tell_left(),
                Action::Replaced => {
                    log::error!("a later process runs under the number of this entry");
                    self.trigger.pull();
                }
            }
        }
        announcing
    }

    /// Sends a datagram; one that cannot be sent at once counts as lost.
    fn send(&self, to: SocketAddr, msg: &Datagram) {
        let sent = datagram::encode(msg)
            .ok()
            .and_then(|bytes| self.socket.try_send_to(&bytes, to).ok());
        match sent {
            Some(bytes) => {
                self.metrics.sent.inc();
                let bytes = u64::try_from(bytes).unwrap_or_default();
                self.metrics.sent_bytes.inc_by(bytes);
            }
            None => self.metrics.refused.inc(),
        }
    }

    fn address_of(&self, peer: EntryId) -> Option<SocketAddr> {
        let mut peers = self.membership.live_peers();
        let found = peers.find(|info| info.id == peer);
        found.map(|info| info.peer_address)
    }

    fn tell_left(&mut self) {
        for tx in self.left.drain(..) {
            // Who waited has ended meanwhile.
            let _ = tx.send(());
        }
    }

    fn count(&self) {
        let gauge = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        let serving = self.membership.all_serving(Instant::now()).count();
        self.metrics.upstreams.set(gauge(serving));
        let peers = self.membership.live_peers().count();
        self.metrics.peers.set(gauge(peers));
    }
}

impl Handler<Tick> for PeerActor {
    type Return = ();

    async fn handle(&mut self, _tick: Tick, _ctx: &mut Context<Self>) {
        self.step(Input::Tick).await;
        self.count();
    }
}

impl Handler<Received> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: Received, _ctx: &mut Context<Self>) {
        self.step(Input::Received(message.0)).await;
    }
}

impl Handler<Announced> for PeerActor {
    type Return = Announcing;

    async fn handle(&mut self, message: Announced, _ctx: &mut Context<Self>) -> Announcing {
        self.step(Input::Announced(message.0)).await
    }
}

impl Handler<Leave> for PeerActor {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _leave: Leave, _ctx: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (tx, left) = oneshot::channel();
        self.left.push(tx);
        self.step(Input::Leave).await;
        left
    }
}

impl Handler<FindPeer> for PeerActor {
    type Return = Option<SocketAddr>;

    async fn handle(&mut self, message: FindPeer, _ctx: &mut Context<Self>) -> Option<SocketAddr> {
        self.address_of(message.0)
    }
}

impl Handler<SendSlots> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: SendSlots, _ctx: &mut Context<Self>) {
        if let Some(address) = self.address_of(message.0) {
            self.send(address, &Datagram::Slots(self.me, message.1));
        }
    }
}
