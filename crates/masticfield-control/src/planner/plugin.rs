//! The plug-in that plans the fleet while this replica leads.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};

use super::HealthTable;
use super::platform_client::PlatformClient;
use super::turn::PlanningTurn;
use crate::{ControlHandle, ControlSettings};

/// Interval between the starts of two turns.
const TURN_INTERVAL: Duration = Duration::from_millis(500);

inventory::submit! { Plugin::new("planner", Program::Control, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
        let health = HealthTable::default();
        cx.provide(health.clone());
        let Some(address) = settings.platform else {
            return Ok(());
        };
        let control = cx.need::<ControlHandle>()?.clone();
        let mut turn = PlanningTurn::new(control, PlatformClient::new(address), health);
        let mut ticks = cx.timer().every(TURN_INTERVAL);
        let mut shutdown = cx.shutdown();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = shutdown.requested() => return,
                    _ = ticks.recv() => {}
                }
                if let Err(error) = turn.run().await {
                    let error = masticfield_node::program::error_chain(&error);
                    log::info!(error; "planning skipped: cannot read the reports of the platform");
                }
            }
        });
        Ok(())
    })
}
