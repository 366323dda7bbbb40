//! Reading a body with limits on size and time.

use std::error::Error;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Body;
use snafu::Snafu;

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
