//! The plug-in that serves the HTTP interface for operators.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_node::addresses::Addresses;
use masticfield_node::http::Listeners;
use tokio_util::task::TaskTracker;

use super::routes::Routes;
use crate::entries::{LeaseHandle, UpstreamReports};
use crate::planner::HealthTable;
use crate::{ControlHandle, ControlSettings};

/// Percentage of the connections of the process that the listener may have.
const CONNECTION_PERCENT: usize = 50;

inventory::submit! { Plugin::new("operator", Program::Control, 2, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
        let limits = settings
            .node
            .http
            .with_connection_percent(CONNECTION_PERCENT);
        let listeners = cx.need::<Listeners>()?;
        let bound = listeners
            .bind("--operator-listen", settings.operator_listen, limits)
            .await;
        let server = bound.map_err(|source| KernelError::Start {
            plugin: "operator",
            source: Box::new(source),
        })?;
        let routes = Routes {
            control: cx.need::<ControlHandle>()?.clone(),
            reports: cx.need::<UpstreamReports>()?.clone(),
            health: cx.need::<HealthTable>()?.clone(),
            leases: cx.need::<LeaseHandle>()?.clone(),
            token: settings.token.clone(),
            body_timeout: limits.body_timeout(),
        };
        let address = server.address();
        let tasks = cx.need::<TaskTracker>()?.clone();
        tasks.spawn(server.serve(cx.shutdown(), move |req, peer| {
            let routes = routes.clone();
            async move { routes.serve(req, peer).await }
        }));
        let addresses = cx.need::<Addresses>()?.clone().with("operator", address);
        cx.provide(addresses);
        Ok(())
    })
}
