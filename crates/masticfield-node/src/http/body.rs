//! Reading a body within bounds.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use snafu::Snafu;

/// A body was not read to its end.
#[derive(Debug, Snafu)]
pub enum BodyError {
    /// The body is larger than the limit.
    #[snafu(display("the body is larger than {limit} bytes"))]
    TooLarge {
        /// Limit in bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[snafu(display("the body did not arrive within {timeout:?}"))]
    TooSlow {
        /// The time it had.
        timeout: Duration,
    },
    /// The connection broke in the middle of the body.
    #[snafu(display("the body is cut short"))]
    Truncated {
        /// The cause.
        source: Box<dyn Error + Send + Sync>,
    },
}

/// Reads a whole body of at most `limit` bytes within `timeout`.
///
/// # Errors
///
/// Fails if the body is too large, too slow or cut short.
pub async fn read_body<B>(body: B, limit: usize, timeout: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>>,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collected = tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Err(_elapsed) => Err(BodyError::TooSlow { timeout }),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(source)) if source.is::<LengthLimitError>() => Err(BodyError::TooLarge { limit }),
        Ok(Err(source)) => Err(BodyError::Truncated { source }),
    }
}
