//! The plug-in that starts the router.

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use xtra::Mailbox;

use super::RouterActor;

inventory::submit! { Plugin::new("router", Program::Entry, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        cx.provide(xtra::spawn_tokio(RouterActor::new(), Mailbox::unbounded()));
        Ok(())
    })
}
