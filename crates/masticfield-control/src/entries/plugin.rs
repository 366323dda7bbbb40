//! The plug-ins that serve entries and begin the leadership.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_core::timer::Timer;
use masticfield_node::addresses::Addresses;
use masticfield_node::admin::Readiness;
use masticfield_node::http::BindError;
use masticfield_state::LeaderAddresses;
use masticfield_state::in_force::LeaseTiming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio_util::task::TaskTracker;
use xtra::{Mailbox, WeakAddress};

use super::connection::{ConnectionContext, serve};
use super::lease_actor::LeaseActor;
use super::{LeaseHandle, UpstreamReports, leading};
use crate::actor::StateChanges;
use crate::{ControlHandle, ControlSettings};

/// Interval at which leases are checked for expiry.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

inventory::submit! { Plugin::new("entries", Program::Control, 1, start) }
inventory::submit! { Plugin::new("leading", Program::Control, 3, start_leading) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
        let address = settings.entry_listen;
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|source| KernelError::Start {
            plugin: "entries",
            source: Box::new(BindError {
                flag: "--entry-listen",
                address,
                source,
            }),
        })?;
        let address = listener.local_addr().unwrap_or(address);
        let control = cx.need::<ControlHandle>()?.clone();
        let timing = LeaseTiming {
            lease: settings.config_lease,
            ..LeaseTiming::default()
        };
        let actor = LeaseActor::new(control.clone(), timing);
        let leases = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let changes = cx.need::<StateChanges>()?.take();
        // Weak addresses: the actor ends with the connections and handles, not with these tasks.
        tokio::spawn(forward(changes, leases.downgrade()));
        tokio::spawn(tick(cx.timer().clone(), leases.downgrade()));
        let reports = UpstreamReports::default();
        cx.provide(reports.clone());
        cx.provide(LeaseHandle::new(control.clone(), leases.clone()));
        let context = ConnectionContext {
            control,
            reports,
            leases,
            next_number: Arc::default(),
            keys: settings.keys.clone(),
        };
        let tasks = cx.need::<TaskTracker>()?.clone();
        tasks.spawn(serve(listener, context, cx.shutdown()));
        cx.need::<Readiness>()?.set(true);
        let addresses = cx.need::<Addresses>()?.clone().with("entry", address);
        cx.provide(addresses);
        Ok(())
    })
}

/// Starts the task that begins the leadership, once every listener has its address.
fn start_leading(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let addresses = cx.need::<Addresses>()?;
        let reachable = |name| {
            let address = addresses.address(name);
            address.filter(|address| !address.ip().is_unspecified())
        };
        let leader = LeaderAddresses {
            entry: reachable("entry"),
            operator: reachable("operator"),
        };
        let control = cx.need::<ControlHandle>()?.clone();
        let tasks = cx.need::<TaskTracker>()?.clone();
        tasks.spawn(leading::run(
            control,
            leader,
            cx.timer().clone(),
            cx.shutdown(),
        ));
        Ok(())
    })
}

/// Forwards the changes of the state to the lease actor, in their order.
async fn forward(
    mut changes: mpsc::UnboundedReceiver<crate::actor::StateChange>,
    leases: WeakAddress<LeaseActor>,
) {
    while let Some(change) = changes.recv().await {
        if leases.send(change).await.is_err() {
            return;
        }
    }
}

async fn tick(timer: Timer, leases: WeakAddress<LeaseActor>) {
    let mut ticks = timer.every(TICK_INTERVAL);
    while let Some(tick) = ticks.recv().await {
        if leases.send(tick).await.is_err() {
            return;
        }
    }
}
