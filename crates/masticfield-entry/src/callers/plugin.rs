//! The plug-in that serves callers.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use masticfield_core::ids::Incarnation;
use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_node::addresses::Addresses;
use masticfield_node::http::Listeners;
use masticfield_node::trace::Tracing;
use tokio_util::task::TaskTracker;
use xtra::Address;

use super::caller_handler::CallerHandler;
use super::upstream_client::UpstreamClient;
use crate::EntrySettings;
use crate::at_most_once::ResponseStoreActor;
use crate::control::ControlLink;
use crate::metrics::Metrics;
use crate::peers::PeerActor;
use crate::router::RouterActor;

/// Bits of a dispatch number below the incarnation, which is the start time in milliseconds.
///
/// They leave room for 2^20 dispatches in each millisecond of the entry's uptime.
const DISPATCH_BITS: u32 = 20;

/// Percentage of the connections of the process that the listener may have.
const CONNECTION_PERCENT: usize = 60;

inventory::submit! { Plugin::new("callers", Program::Entry, 5, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<EntrySettings>>()?);
        let limits = settings
            .node
            .http
            .with_connection_percent(CONNECTION_PERCENT);
        let listeners = cx.need::<Listeners>()?;
        let bound = listeners
            .bind("--caller-listen", settings.caller_listen, limits)
            .await;
        let server = bound.map_err(|source| KernelError::Start {
            plugin: "callers",
            source: Box::new(source),
        })?;
        let handler = Arc::new(CallerHandler {
            entry: settings.entry,
            responses: cx.need::<Address<ResponseStoreActor>>()?.clone(),
            peers: cx.need::<Address<PeerActor>>()?.clone(),
            tasks: cx.need::<TaskTracker>()?.clone(),
            router: cx.need::<Address<RouterActor>>()?.clone(),
            control: cx.need::<ControlLink>()?.clone(),
            upstreams: UpstreamClient::new(settings.entry_count),
            metrics: cx.need::<Metrics>()?.clone(),
            tracing: cx.need::<Tracing>()?.clone(),
            shutdown: cx.shutdown(),
            body_timeout: limits.body_timeout(),
            next_sequence: AtomicU64::new(first_sequence(*cx.need::<Incarnation>()?)),
        });
        let address = server.address();
        let tasks = cx.need::<TaskTracker>()?.clone();
        tasks.spawn(server.serve(cx.shutdown(), move |req, peer| {
            let handler = Arc::clone(&handler);
            async move { handler.handle(req, peer.ip()).await }
        }));
        let addresses = cx.need::<Addresses>()?.clone().with("caller", address);
        cx.provide(addresses);
        Ok(())
    })
}

/// Returns the number of an incarnation's first dispatch, above those of earlier incarnations.
const fn first_sequence(incarnation: Incarnation) -> u64 {
    incarnation.number() << DISPATCH_BITS
}
