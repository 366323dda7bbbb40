//! The body of a request, tied to its connection.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::connections::OpenConnection;
use super::{Bodies, BodyError, HeldBody};

/// The body of a request that a [`Server`](super::Server) has received.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    bodies: Bodies,
    connection: Arc<OpenConnection>,
    is_complete: bool,
}

impl RequestBody {
    pub(super) fn new(incoming: Incoming, bodies: Bodies, connection: Arc<OpenConnection>) -> Self {
        connection.begin_request();
        let mut body = Self {
            incoming,
            bodies,
            connection,
            is_complete: false,
        };
        body.check_complete();
        body
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

    fn check_complete(&mut self) {
        if !self.is_complete && self.incoming.is_end_stream() {
            self.set_complete();
        }
    }

    fn set_complete(&mut self) {
        self.is_complete = true;
        self.connection.begin_handling();
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(cx);
        match &frame {
            Poll::Ready(None) if !self.is_complete => self.set_complete(),
            Poll::Ready(Some(Ok(_))) => self.check_complete(),
            _ => {}
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        if !self.is_complete {
            self.connection.discard_rest();
        }
    }
}
