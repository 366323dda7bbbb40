//! The plug-in that listens to entries.

use std::sync::Arc;

use masticfield_core::kernel::{KernelContext, KernelError, Plugin, Program, StartFuture};
use masticfield_node::addresses::Addresses;
use masticfield_node::admin::Readiness;
use masticfield_node::http::BindError;
use tokio::net::TcpListener;
use tokio_util::task::TaskTracker;

use super::EntryRegistry;
use super::connection::{Acceptor, serve};
use crate::{ControlHandle, ControlSettings};

inventory::submit! { Plugin::new("entries", Program::Control, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let settings = Arc::clone(cx.need::<Arc<ControlSettings>>()?);
        let address = settings.entry_listen;
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|source| KernelError::Start {
            plugin: "entries",
            source: Box::new(BindError {
                flag: "--entry-listen",
                address,
                source,
            }),
        })?;
        let address = listener.local_addr().unwrap_or(address);
        let registry = EntryRegistry::default();
        cx.provide(registry.clone());
        let acceptor = Acceptor {
            control: cx.need::<ControlHandle>()?.clone(),
            registry,
            lease: settings.config_lease,
        };
        let tasks = cx.need::<TaskTracker>()?.clone();
        tasks.spawn(serve(listener, acceptor, cx.shutdown()));
        cx.need::<Readiness>()?.set(true);
        let addresses = cx.need::<Addresses>()?.clone().with("entry", address);
        cx.provide(addresses);
        Ok(())
    })
}
