//! The plug-in that connects to the control replicas.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use masticfield_core::membership::EntryInfo;
use masticfield_node::admin::Readiness;
use tokio::sync::{mpsc, watch};
use xtra::{Address, WeakAddress};

use super::session::Session;
use super::{ControlLink, LeasedConfig};
use crate::EntrySettings;
use crate::metrics::Metrics;
use crate::router::{Configure, RouterActor};

/// Maximum number of requests that wait for the connection; further senders wait.
const REQUEST_QUEUE_CAPACITY: usize = 4_096;

inventory::submit! { Plugin::new("control", Program::Entry, 3, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let (tx, rx) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
        let (leased_tx, leased) = watch::channel(LeasedConfig::none());
        let info = cx.need::<EntryInfo>()?.clone();
        let session = Session::new(info, settings.control.clone(), settings.lease_renewal)
            .with_keys(settings.keys.clone())
            .publish_to(leased_tx, cx.need::<Readiness>()?.clone())
            .with_metrics(cx.need::<Metrics>()?.clone());
        tokio::spawn(session.run(rx, cx.timer().clone(), cx.shutdown()));
        let link = ControlLink::new(tx, leased);
        let router = cx.need::<Address<RouterActor>>()?.downgrade();
        tokio::spawn(configure(router, link.watch_leased_config()));
        cx.provide(link);
        Ok(())
    })
}

/// Passes each new version of the configuration to the router, until the session or router ends.
async fn configure(router: WeakAddress<RouterActor>, mut leased: watch::Receiver<LeasedConfig>) {
    let mut version = 0;
    while leased.changed().await.is_ok() {
        let config = Arc::clone(&leased.borrow_and_update().config);
        if config.version() == version {
            continue;
        }
        version = config.version();
        if router.send(Configure(config)).await.is_err() {
            return;
        }
    }
}
