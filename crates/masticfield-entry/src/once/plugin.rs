//! The plug-in that starts the book of claimed requests.

use masticfield_core::kernel::{KernelContext, Plugin, Program, StartFuture};
use masticfield_routing::at_most_once::ResponseStoreLimits;
use xtra::Mailbox;

use super::BookActor;

inventory::submit! { Plugin::new("once", Program::Entry, 1, start) }

fn start(cx: &mut KernelContext) -> StartFuture<'_> {
    Box::pin(async {
        let book = BookActor::new(ResponseStoreLimits::new());
        cx.provide(xtra::spawn_tokio(book, Mailbox::unbounded()));
        Ok(())
    })
}
