//! The plug-in that starts the router.

use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use xtra::Mailbox;

use super::{RouterActor, Sweep};
use crate::EntrySettings;

/// Time between two looks for upstreams whose time to live has run out.
const SWEEP_PERIOD: Duration = Duration::from_millis(250);

inventory::submit! { Plugin::new("router", Program::Entry, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let router = RouterActor::new(settings.upstream_ttl);
        let router = xtra::spawn_tokio(router, Mailbox::unbounded());
        let mut ticks = cx.timer().every(SWEEP_PERIOD);
        let sweeper = router.downgrade();
        tokio::spawn(async move {
            while ticks.recv().await.is_some() {
                if sweeper.send(Sweep(Instant::now())).await.is_err() {
                    return;
                }
            }
        });
        cx.provide(router);
        Ok(())
    })
}
