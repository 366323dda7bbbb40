//! The plug-in that connects to the control replicas.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use masticfield_core::membership::EntryInfo;
use masticfield_node::admin::Readiness;
use tokio::sync::{mpsc, watch};
use xtra::{Address, WeakAddress};

use super::session::Session;
use super::{ControlLink, Served};
use crate::EntrySettings;
use crate::metrics::Metrics;
use crate::router::{Configure, RouterActor};

/// Asks that wait for the connection, at most.
const ASK_QUEUE: usize = 4_096;

inventory::submit! { Plugin::new("control", Program::Entry, 3, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let (tx, rx) = mpsc::channel(ASK_QUEUE);
        let (served_tx, served) = watch::channel(Served::nothing());
        let info = cx.need::<EntryInfo>()?.clone();
        let session = Session::new(info, settings.control.clone(), settings.lease_renewal)
            .keys(settings.keys.clone())
            .publish_to(served_tx, cx.need::<Readiness>()?.clone())
            .count_with(cx.need::<Metrics>()?.clone());
        tokio::spawn(session.run(rx, cx.timer().clone(), cx.shutdown()));
        let link = ControlLink::new(tx, served);
        let router = cx.need::<Address<RouterActor>>()?.downgrade();
        tokio::spawn(configure(router, link.watch_served()));
        cx.provide(link);
        Ok(())
    })
}

/// Hands each new configuration to the router, until one of the two is gone.
async fn configure(router: WeakAddress<RouterActor>, mut served: watch::Receiver<Served>) {
    let mut version = 0;
    while served.changed().await.is_ok() {
        let config = Arc::clone(&served.borrow_and_update().config);
        if config.version() == version {
            continue;
        }
        version = config.version();
        if router.send(Configure(config)).await.is_err() {
            return;
        }
    }
}
