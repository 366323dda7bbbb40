//! Reading a body with limits on size and time.

use std::error::Error;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

use super::body_buffer::BodyBuffer;

/// Reason why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body did not arrive within the timeout.
    #[snafu(display("the body did not arrive within {timeout:?}"))]
    TooSlow {
        /// Time within which it had to arrive.
        timeout: Duration,
    },
    /// The connection broke before the end of the body.
    #[snafu(display("the body is cut short"))]
    Truncated {
        /// The cause.
        source: Box<dyn Error + Send + Sync>,
    },
    /// Other bodies hold the memory that the process has for bodies.
    #[snafu(display("there is no memory for the body"))]
    NoRoom,
    /// The body made no progress while other bodies needed its memory.
    #[snafu(display("the body stalled and was given up for other bodies"))]
    GivenUp,
}

impl BodyError {
    /// Returns whether the body was not read for lack of memory, so that the same request may
    /// succeed later.
    pub const fn is_overload(&self) -> bool {
        matches!(self, Self::NoRoom | Self::GivenUp)
    }
}

/// Reads a whole body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Fails if the body is too large, too slow or truncated.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
{
    let expected = expected_len(&body, limit)?;
    let mut buf = BodyBuffer::new();
    read_chunks(body, limit, timeout, |chunk| {
        buf.append(chunk, buf.next_capacity(chunk.len(), expected));
        Ok(())
    })
    .await?;
    Ok(buf.into_bytes())
}

/// Returns the largest possible size of a body, which is its declared size if it has one.
///
/// # Errors
///
/// Fails if the declared size exceeds the limit.
pub(super) fn expected_len<B: Body>(body: &B, limit: usize) -> Result<usize, BodyError> {
    let size = body.size_hint();
    if size.lower() > limit as u64 {
        return TooLargeSnafu { limit }.fail();
    }
    let upper = size.upper().and_then(|bytes| usize::try_from(bytes).ok());
    Ok(upper.unwrap_or(limit).min(limit))
}

/// Reads a body to its end and passes each chunk on.
pub(super) async fn read_chunks<B>(
    body: B,
    limit: usize,
    timeout: Duration,
    mut append: impl FnMut(&[u8]) -> Result<(), BodyError>,
) -> Result<(), BodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
{
    let read = async {
        let mut body = pin!(body);
        let mut len = 0_usize;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| BodyError::Truncated {
                source: error.into(),
            })?;
            let Ok(chunk) = frame.into_data() else {
                continue;
            };
            len = len.saturating_add(chunk.len());
            if len > limit {
                return TooLargeSnafu { limit }.fail();
            }
            append(&chunk)?;
        }
        Ok(())
    };
    let read = tokio::time::timeout(timeout, read).await;
    read.unwrap_or(Err(BodyError::TooSlow { timeout }))
}
