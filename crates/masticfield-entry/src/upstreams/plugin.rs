//! The plug-in that serves the announcements of upstreams.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_node::addresses::Addresses;
use masticfield_node::http::Listeners;
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::routes::Routes;
use crate::EntrySettings;
use crate::control::ControlLink;
use crate::peers::PeerActor;

/// Percentage of the connections of the process that the listener may have.
const CONNECTION_PERCENT: usize = 35;

inventory::submit! { Plugin::new("upstreams", Program::Entry, 4, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let limits = settings
            .node
            .http
            .with_connection_percent(CONNECTION_PERCENT);
        let listeners = cx.need::<Listeners>()?;
        let bound = listeners
            .bind("--upstream-listen", settings.upstream_listen, limits)
            .await;
        let server = bound.map_err(|source| KernelError::Start {
            plugin: "upstreams",
            source: Box::new(source),
        })?;
        let routes = Routes {
            peers: cx.need::<Address<PeerActor>>()?.clone(),
            control: cx.need::<ControlLink>()?.clone(),
            body_timeout: limits.body_timeout(),
            ttl: settings.upstream_ttl,
            shutdown: cx.shutdown(),
        };
        let address = server.address();
        let tasks = cx.need::<TaskTracker>()?.clone();
        tasks.spawn(server.serve(cx.shutdown(), move |req, _peer| {
            let routes = routes.clone();
            async move { routes.handle(req).await }
        }));
        let addresses = cx.need::<Addresses>()?.clone().with("upstream", address);
        cx.provide(addresses);
        Ok(())
    })
}
