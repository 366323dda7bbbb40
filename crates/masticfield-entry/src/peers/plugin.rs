//! The plug-in that connects this entry to the other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_core::membership::EntryInfo;
use masticfield_node::addresses::Addresses;
use masticfield_routing::membership::{Membership, Timing};
use prometheus::Registry;
use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;
use xtra::{Address, Mailbox, WeakAddress};

use super::peer_actor::{Leave, PeerActor, SendSlotMessage, Tick};
use super::{ask, datagrams, metrics::PeerMetrics};
use crate::EntrySettings;
use crate::at_most_once::ResponseStoreActor;
use crate::router::{RouterActor, SlotOutbox, SlotOutboxCell};

/// Maximum number of ports to try for one that is free for both UDP and TCP.
const MAX_BIND_ATTEMPTS: usize = 8;

/// Time limit for every live peer to acknowledge that this entry leaves.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(2);

inventory::submit! { Plugin::new("peers", Program::Entry, 2, start) }

/// The entry cannot communicate with its peers.
#[derive(Debug, Snafu)]
enum StartPeersError {
    #[snafu(display("--peer-listen {address} cannot be bound for UDP and TCP"))]
    Bind {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("a metric cannot be registered"))]
    Register { source: prometheus::Error },
}

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let (socket, listener) = bind(settings.peer_listen).await.map_err(start_error)?;
        let address = listener.local_addr().unwrap_or(settings.peer_listen);
        let metrics = PeerMetrics::register(cx.need::<Registry>()?);
        let metrics = metrics.context(RegisterSnafu).map_err(start_error)?;
        let me = EntryInfo {
            id: settings.entry,
            incarnation: *cx.need::<Incarnation>()?,
            peer_address: settings.peer_advertise.unwrap_or(address),
            zone: Arc::clone(&settings.zone),
        };
        let timing = Timing::new().with_time_to_live(settings.upstream_ttl);
        let membership = Membership::new(me.clone(), settings.peers.iter().copied(), timing);
        let (stop_receivers, mut stopped) = oneshot::channel();
        let router = cx.need::<Address<RouterActor>>()?.clone();
        let actor = PeerActor::new(
            settings.entry,
            membership,
            Arc::clone(&socket),
            router.clone(),
            cx.trigger().clone(),
            metrics.clone(),
            stop_receivers,
        );
        let peers = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let responses = cx.need::<Address<ResponseStoreActor>>()?.clone();
        let weak_peers = peers.downgrade();
        tokio::spawn(async move {
            tokio::select! {
                () = datagrams::receive(socket, weak_peers, router, metrics) => {}
                () = ask::serve(listener, responses) => {}
                _ = &mut stopped => {}
            }
        });
        if let Some(outbox) = cx.need::<SlotOutboxCell>()?.lock().take() {
            tokio::spawn(send_slot_messages(outbox, peers.downgrade()));
        }
        spawn_ticks(cx, peers.downgrade(), timing);
        spawn_leave(cx, peers.downgrade())?;
        let addresses = cx.need::<Addresses>()?.clone().with("peer", address);
        cx.provide(addresses);
        cx.provide(me);
        cx.provide(peers);
        Ok(())
    })
}

/// Sends the router's messages about slots, until the router or the peer actor has stopped.
async fn send_slot_messages(mut outbox: SlotOutbox, peers: WeakAddress<PeerActor>) {
    while let Some((to, msg)) = outbox.recv().await {
        if peers.send(SendSlotMessage(to, msg)).await.is_err() {
            return;
        }
    }
}

fn spawn_ticks(cx: &KernelContext, peers: WeakAddress<PeerActor>, timing: Timing) {
    let mut ticks = cx.timer().every(timing.tick_interval());
    tokio::spawn(async move {
        while ticks.recv().await.is_some() {
            if peers.send(Tick).await.is_err() {
                return;
            }
        }
    });
}

/// Leaves the membership when the shutdown begins, so that peers take over this entry's roles at
/// once instead of after its failure time-out.
fn spawn_leave(cx: &KernelContext, peers: WeakAddress<PeerActor>) -> Result<(), KernelError> {
    let mut shutdown = cx.shutdown();
    let tasks = cx.need::<TaskTracker>()?;
    tasks.spawn(async move {
        shutdown.requested().await;
        let Ok(left) = peers.send(Leave).await else {
            return;
        };
        if tokio::time::timeout(LEAVE_TIMEOUT, left).await.is_err() {
            log::warn!("not every peer acknowledged in time that this entry leaves");
        }
    });
    Ok(())
}

/// Binds the same port for UDP and TCP.
///
/// If any port will do, another one is tried when the TCP port is in use.
async fn bind(address: SocketAddr) -> Result<(Arc<UdpSocket>, TcpListener), StartPeersError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let socket = UdpSocket::bind(address).await;
        let socket = socket.context(BindSnafu { address })?;
        let bound = socket.local_addr().context(BindSnafu { address })?;
        match TcpListener::bind(bound).await {
            Ok(listener) => return Ok((Arc::new(socket), listener)),
            Err(_in_use) if address.port() == 0 && attempts < MAX_BIND_ATTEMPTS => {}
            Err(source) => return Err(StartPeersError::Bind { address, source }),
        }
    }
}

fn start_error(source: StartPeersError) -> KernelError {
    KernelError::Start {
        plugin: "peers",
        source: Box::new(source),
    }
}
