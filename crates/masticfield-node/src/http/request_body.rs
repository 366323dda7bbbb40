//! The body of a request.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::{Bodies, BodyError, HeldBody};

/// The body of a request that a [`Server`](super::Server) has received.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    bodies: Bodies,
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, bodies: Bodies) -> Self {
        Self { incoming, bodies }
    }

    /// Reads the whole body of at most `limit` bytes within `timeout`.
    ///
    /// # Errors
    ///
    /// Fails like [`Bodies::read`].
    pub async fn read(self, limit: usize, timeout: Duration) -> Result<HeldBody, BodyError> {
        let bodies = self.bodies.clone();
        bodies.read(self, limit, timeout).await
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        Pin::new(&mut self.incoming).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
