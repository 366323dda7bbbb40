//! The plug-in that updates the gauges periodically.

use std::time::Duration;

use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use prometheus::Registry;

use super::gauges::Gauges;
use crate::ControlHandle;
use crate::entries::LeaseHandle;

/// Interval at which the gauges are updated.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

inventory::submit! { Plugin::new("metrics", Program::Control, 3, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let gauges = Gauges::register(cx.need::<Registry>()?);
        let gauges = gauges.map_err(|source| KernelError::Start {
            plugin: "metrics",
            source: Box::new(source),
        })?;
        let control = cx.need::<ControlHandle>()?.clone();
        let leases = cx.need::<LeaseHandle>()?.clone();
        let mut ticks = cx.timer().every(UPDATE_INTERVAL);
        let mut shutdown = cx.shutdown();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = shutdown.requested() => return,
                    _ = ticks.recv() => {}
                }
                let version = *control.watch_version().borrow();
                let entries = leases.entry_rows().await.map_or(0, |rows| rows.len());
                gauges.update(control.replica_status(), version, entries);
            }
        });
        Ok(())
    })
}
