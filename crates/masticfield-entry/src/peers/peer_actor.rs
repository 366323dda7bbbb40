//! The actor that carries out the actions of the membership protocol.

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
use crate::router::{ApplyMembershipEvent, RouterActor};

/// Runs the membership protocol and passes its events to the router.
#[derive(Debug, Actor)]
pub(crate) struct PeerActor {
    me: EntryId,
    membership: Membership,
    socket: Arc<UdpSocket>,
    router: Address<RouterActor>,
    trigger: ShutdownTrigger,
    metrics: PeerMetrics,
    /// Who waits until every live peer has acknowledged that this entry leaves.
    leave_waiters: Vec<oneshot::Sender<()>>,
    /// Dropped with the actor, which stops the tasks that receive from peers.
    _stop_receivers: oneshot::Sender<()>,
}

/// Advances the membership protocol; sent at its tick interval.
#[derive(Debug)]
pub(super) struct Tick;

/// Handles a message from a peer.
#[derive(Debug)]
pub(super) struct ReceivePeerMessage(pub PeerMessage);

/// Announces an upstream; the reply says when it must announce itself again.
#[derive(Debug)]
pub(crate) struct Announce(pub Announcement);

/// Leaves the membership; the receiver is notified once every live peer has acknowledged it.
#[derive(Debug)]
pub(super) struct Leave;

/// Looks up the address of a live peer.
#[derive(Debug)]
pub(crate) struct FindPeer(pub EntryId);

/// Sends a message about slots to a peer; it may get lost.
#[derive(Debug)]
pub(super) struct SendSlotMessage(pub EntryId, pub SlotMessage);

/// The reply to an announcement, if the actions contain one.
type AnnounceReply = Option<Result<Duration, AnnouncementRefusal>>;

impl PeerActor {
    /// Creates the actor; `stop_receivers` is dropped with it.
    pub(super) const fn new(
        me: EntryId,
        membership: Membership,
        socket: Arc<UdpSocket>,
        router: Address<RouterActor>,
        trigger: ShutdownTrigger,
        metrics: PeerMetrics,
        stop_receivers: oneshot::Sender<()>,
    ) -> Self {
        Self {
            me,
            membership,
            socket,
            router,
            trigger,
            metrics,
            leave_waiters: Vec::new(),
            _stop_receivers: stop_receivers,
        }
    }

    /// Applies an input to the membership and carries out the resulting actions.
    async fn step(&mut self, input: Input) -> AnnounceReply {
        let mut reply = None;
        for action in self.membership.step(Instant::now(), input) {
            match action {
                Action::Send { to, msg } => self.send(to, &Datagram::Membership(msg)),
                Action::Publish(event) => {
                    log::debug!(event:?; "the membership changed");
                    // Fails only if the router has stopped.
                    drop(self.router.send(ApplyMembershipEvent(event)).await);
                }
                Action::Accept { again_in } => reply = Some(Ok(again_in)),
                Action::Refuse(refusal) => reply = Some(Err(refusal)),
                Action::Left => self.notify_leave_waiters(),
                Action::Replaced => {
                    log::error!("a later process uses the number of this entry; stopping");
                    self.trigger.shut_down();
                }
            }
        }
        reply
    }

    /// Sends a datagram, or drops it if the socket is not writable at once.
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

    fn notify_leave_waiters(&mut self) {
        for tx in self.leave_waiters.drain(..) {
            // Fails only if the waiting task has ended.
            let _ = tx.send(());
        }
    }

    fn update_gauges(&self) {
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
        self.update_gauges();
    }
}

impl Handler<ReceivePeerMessage> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: ReceivePeerMessage, _ctx: &mut Context<Self>) {
        self.step(Input::Received(message.0)).await;
    }
}

impl Handler<Announce> for PeerActor {
    type Return = AnnounceReply;

    async fn handle(&mut self, message: Announce, _ctx: &mut Context<Self>) -> AnnounceReply {
        self.step(Input::Announced(message.0)).await
    }
}

impl Handler<Leave> for PeerActor {
    type Return = oneshot::Receiver<()>;

    async fn handle(&mut self, _leave: Leave, _ctx: &mut Context<Self>) -> oneshot::Receiver<()> {
        let (tx, left) = oneshot::channel();
        self.leave_waiters.push(tx);
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

impl Handler<SendSlotMessage> for PeerActor {
    type Return = ();

    async fn handle(&mut self, message: SendSlotMessage, _ctx: &mut Context<Self>) {
        if let Some(address) = self.address_of(message.0) {
            self.send(address, &Datagram::Slots(self.me, message.1));
        }
    }
}
