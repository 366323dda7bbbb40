//! The plug-in that starts the router.

use std::sync::Arc;
use std::time::Instant;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_core::timer::Timer;
use masticfield_routing::options::RouterOptions;
use masticfield_routing::router::{Router, RouterIdentity};
use masticfield_routing::slots::SlotMessage;
use prometheus::Registry;
use tokio::sync::{mpsc, watch};
use xtra::{Mailbox, WeakAddress};

use super::RouterActor;
use super::entries::Entries;
use super::metrics::RouterMetrics;
use super::router_actor::{Stop, Tick};
use crate::EntrySettings;

inventory::submit! { Plugin::new("router", Program::Entry, 1, start) }

/// Messages about slots to send to other entries.
pub(crate) type SlotOutbox = mpsc::UnboundedReceiver<(EntryId, SlotMessage)>;

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let metrics = RouterMetrics::register(cx.need::<Registry>()?);
        let metrics = metrics.map_err(|source| KernelError::Start {
            plugin: "router",
            source: Box::new(source),
        })?;
        let identity = RouterIdentity {
            entry: settings.entry,
            incarnation: *cx.need::<Incarnation>()?,
            zone: Arc::clone(&settings.zone),
        };
        let router = Router::new(identity, RouterOptions::default(), rand::random());
        let (outbox_tx, outbox) = mpsc::unbounded_channel();
        let (next_tick_tx, next_tick) = watch::channel(Instant::now());
        let entries = Entries::new(settings.entry, settings.entry_count);
        let actor = RouterActor::new(router, entries, outbox_tx, next_tick_tx, metrics);
        let router = xtra::spawn_tokio(actor, Mailbox::unbounded());
        tokio::spawn(send_ticks(
            router.downgrade(),
            next_tick,
            cx.timer().clone(),
        ));
        let (weak_router, mut shutdown) = (router.downgrade(), cx.shutdown());
        tokio::spawn(async move {
            shutdown.requested().await;
            // Fails only if the router has stopped already.
            drop(weak_router.send(Stop).await);
        });
        cx.provide(router);
        cx.provide::<SlotOutboxCell>(parking_lot::Mutex::new(Some(outbox)));
        Ok(())
    })
}

/// Holds the outbox until the task that sends the messages takes it.
pub(crate) type SlotOutboxCell = parking_lot::Mutex<Option<SlotOutbox>>;

/// Sends the router a tick whenever its next one is due.
async fn send_ticks(
    router: WeakAddress<RouterActor>,
    mut next_tick: watch::Receiver<Instant>,
    timer: Timer,
) {
    loop {
        let due = *next_tick.borrow_and_update();
        let mut tick = timer.after(due.saturating_duration_since(Instant::now()));
        tokio::select! {
            _ = tick.recv() => {
                if router.send(Tick).await.is_err() {
                    return;
                }
            }
            changed = next_tick.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}
