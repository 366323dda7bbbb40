//! The outcome of a request, as reported to the caller.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//!
//! use masticfield_core::outcome::{NotRunReason, Outcome};
//!
//! let outcome = Outcome::NotRun {
//!     reason: NotRunReason::Overloaded,
//!     retry_after: Duration::from_secs(2),
//! };
//! assert_eq!(outcome.label(), "not-run");
//! assert_eq!(outcome.status(), 503);
//! ```

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known for certain about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// An upstream sent its whole response to this request.
    Answered,
    /// The request did not run: no byte reached an upstream, or the upstream proved it.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request was sent and there is no proof either way.
    Unknown {
        /// What was observed instead of a whole response.
        reason: UnknownReason,
    },
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The estimated wait is longer than the deadline, or the queue is full.
    Overloaded,
    /// The queue is full and the caller holds more than its share of it.
    CallerShare,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// The service has no usable upstream.
    NoUpstream,
    /// The service is not in the configuration.
    UnknownService,
    /// The entry holds no configuration lease.
    NoConfiguration,
    /// The entry is stopping.
    Stopping,
    /// The claim of the idempotency key could not be made durable.
    ClaimUnavailable,
    /// The idempotency key is older than the claims that are kept.
    KeyExpired,
    /// Every upstream that was tried refused the request before running it.
    RefusedByUpstream,
    /// The request is malformed or over a limit.
    BadRequest,
    /// The request is not idempotent and has no usable idempotency key.
    KeyMissing,
    /// The idempotency key was used for another request.
    KeyReused,
}

/// Why the outcome of a request is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// No response arrived before the deadline.
    TimedOut,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The response was truncated.
    TornAnswer,
    /// The response carries the identifier of another request.
    CrossedAnswer,
    /// The response body is larger than the limit.
    OverlongAnswer,
    /// An earlier request with the same key is unfinished, or how it ended is unknown.
    EarlierAttempt,
    /// The request ran before under the same key, and its response is no longer stored.
    AlreadyRan,
}

impl Outcome {
    /// Name of the response header that carries the [`label`](Self::label).
    pub const HEADER: &'static str = "masticfield-outcome";

    /// Returns the value of the outcome header.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// Returns the HTTP status of a response that masticfield generates itself.
    ///
    /// An answered request is passed on with the status of its upstream, whatever it is; this
    /// returns 200 for it.
    pub const fn status(self) -> u16 {
        match self {
            Self::Answered => 200,
            Self::NotRun { reason, .. } => reason.status(),
            Self::Unknown {
                reason: UnknownReason::TimedOut,
            } => 504,
            Self::Unknown {
                reason: UnknownReason::AlreadyRan,
            } => 409,
            Self::Unknown { .. } => 502,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl NotRunReason {
    /// Returns the HTTP status that reports the reason.
    pub const fn status(self) -> u16 {
        match self {
            Self::CallerShare => 429,
            Self::UnknownService => 404,
            Self::BadRequest | Self::KeyMissing => 400,
            Self::KeyExpired => 409,
            Self::KeyReused => 422,
            _ => 503,
        }
    }

    /// Returns the name used in metrics and problem bodies.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Overloaded => "overloaded",
            Self::CallerShare => "caller-share",
            Self::DeadlinePassed => "deadline-passed",
            Self::NoUpstream => "no-upstream",
            Self::UnknownService => "unknown-service",
            Self::NoConfiguration => "no-configuration",
            Self::Stopping => "stopping",
            Self::ClaimUnavailable => "claim-unavailable",
            Self::KeyExpired => "key-expired",
            Self::RefusedByUpstream => "refused-by-upstream",
            Self::BadRequest => "bad-request",
            Self::KeyMissing => "key-missing",
            Self::KeyReused => "key-reused",
        }
    }
}

impl UnknownReason {
    /// Returns the name used in metrics and problem bodies.
    pub const fn label(self) -> &'static str {
        match self {
            Self::TimedOut => "timed-out",
            Self::ConnectionLost => "connection-lost",
            Self::TornAnswer => "torn-answer",
            Self::CrossedAnswer => "crossed-answer",
            Self::OverlongAnswer => "overlong-answer",
            Self::EarlierAttempt => "earlier-attempt",
            Self::AlreadyRan => "already-ran",
        }
    }
}
