//! The plug-in that plans while this replica leads.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};

use super::Healths;
use super::platform_client::PlatformClient;
use super::turn::FleetTurn;
use crate::{ControlHandle, ControlSettings};

/// Time between two turns.
const PERIOD: Duration = Duration::from_millis(500);

inventory::submit! { Plugin::new("planner", Program::Control, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
        let healths = Healths::default();
        cx.provide(healths.clone());
        let Some(address) = settings.platform else {
            return Ok(());
        };
        let control = cx.need::<ControlHandle>()?.clone();
        let mut turn = FleetTurn::new(control, PlatformClient::new(address), healths);
        let mut ticks = cx.timer().every(PERIOD);
        let mut shutdown = cx.shutdown();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = shutdown.begun() => return,
                    _ = ticks.recv() => {}
                }
                if let Err(error) = turn.take().await {
                    let error = masticfield_node::program::chain(&error);
                    log::info!(error; "the fleet was not planned");
                }
            }
        });
        Ok(())
    })
}
