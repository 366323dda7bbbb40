//! A future that continues in the background when it is dropped.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::runtime::Handle;
use tokio_util::task::TaskTracker;

/// Polls a future in place, and moves it to a task of its own if it is dropped before its end.
///
/// A connection that a caller closes drops the handling of its request, which must still release
/// its slot and claim. Spawning a task for every request would cost two more wake-ups for each.
#[derive(Debug)]
pub(super) struct RunToCompletion<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    /// The future, until it has ended.
    future: Option<Pin<Box<F>>>,
    tasks: TaskTracker,
}

impl<F> RunToCompletion<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    /// Wraps a future; if it is dropped, its task is tracked by `tasks`.
    pub(super) fn new(future: F, tasks: TaskTracker) -> Self {
        Self {
            future: Some(Box::pin(future)),
            tasks,
        }
    }
}

impl<F> Future for RunToCompletion<F>
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

impl<F> Drop for RunToCompletion<F>
where
    F: Future<Output: Send> + Send + 'static,
{
    fn drop(&mut self) {
        // Without a runtime the process is ending, which releases everything.
        if let (Some(future), Ok(runtime)) = (self.future.take(), Handle::try_current()) {
            self.tasks.spawn_on(future, &runtime);
        }
    }
}
