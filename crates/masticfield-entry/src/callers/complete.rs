//! Futures that go on when their owner drops them.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

/// Runs a future in place, and in a task of its own once its owner has dropped it.
///
/// A caller that vanishes takes its connection along; what its request holds must be given back
/// all the same. A task for each request from the start would cost two wake-ups more.
#[derive(Debug)]
pub(super) struct Complete<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    future: Option<Pin<Box<F>>>,
    tasks: TaskTracker,
}

impl<F> Complete<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    /// Wraps a future; `tasks` counts it if it outlives its owner.
    pub(super) fn new(future: F, tasks: TaskTracker) -> Self {
        Self {
            future: Some(Box::pin(future)),
            tasks,
        }
    }
}

impl<F> Future for Complete<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    type Output = F::Output;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let Some(future) = &mut self.future else {
            return Poll::Pending;
        };
        let polled = future.as_mut().poll(cx);
        if polled.is_ready() {
            self.future = None;
        }
        polled
    }
}

impl<F> Drop for Complete<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    fn drop(&mut self) {
        // Without a runtime the process ends, and so does all that the request holds.
        if let (Some(future), Ok(runtime)) = (self.future.take(), Handle::try_current()) {
            self.tasks.spawn_on(future, &runtime);
        }
    }
}
