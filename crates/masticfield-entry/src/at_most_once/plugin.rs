//! The plug-in that starts the store of responses to claimed requests.

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use masticfield_routing::at_most_once::ResponseStoreLimits;
use xtra::Mailbox;

use super::ResponseStoreActor;

inventory::submit! { Plugin::new("once", Program::Entry, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let actor = ResponseStoreActor::new(ResponseStoreLimits::new());
        cx.provide(xtra::spawn_tokio(actor, Mailbox::unbounded()));
        Ok(())
    })
}
