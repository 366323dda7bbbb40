//! The plug-in that connects to the control replicas.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use masticfield_core::membership::EntryInfo;
use masticfield_node::admin::Readiness;
use tokio::sync::{mpsc, watch};

use super::session::Session;
use super::{ControlLink, Served};
use crate::EntrySettings;
use crate::metrics::Metrics;

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
            .publish_to(served_tx, cx.need::<Readiness>()?.clone())
            .count_with(cx.need::<Metrics>()?.clone());
        tokio::spawn(session.run(rx, cx.timer().clone(), cx.shutdown()));
        cx.provide(ControlLink::new(tx, served));
        Ok(())
    })
}
