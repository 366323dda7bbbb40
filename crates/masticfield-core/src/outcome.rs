//! The outcome of a request, as the caller is told it.
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

/// What happened to a request, stated truthfully.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer of an upstream to this very request.
    Answered,
    /// The request did not run: no byte reached an upstream, or the upstream proved it.
    NotRun {
        /// Why it did not run.
        reason: NotRunReason,
        /// When the caller may come back.
        retry_after: Duration,
    },
    /// The request was sent and there is no proof either way.
    Unknown {
        /// What was seen instead of the whole answer.
        reason: UnknownReason,
    },
}

/// Why a request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NotRunReason {
    /// The estimated wait is longer than the deadline, or the queue is full.
    Overloaded,
    /// The caller holds more than its share of a full queue.
    CallerShare,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No upstream of the service is known or usable.
    NoUpstream,
    /// The service is not in the configuration.
    UnknownService,
    /// The entry holds no configuration lease.
    NoConfiguration,
    /// The entry is stopping.
    Stopping,
    /// The claim of the idempotency key could not be made durable.
    ClaimUnavailable,
    /// The idempotency key is too old to decide whether it ran before.
    KeyExpired,
    /// Every upstream that was tried refused before starting.
    RefusedByUpstream,
    /// The request is malformed or over a limit.
    BadRequest,
    /// A request that is not idempotent came without a usable idempotency key.
    KeyMissing,
    /// The idempotency key was used before, for another request.
    KeyReused,
}

/// What was seen of a request whose outcome is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum UnknownReason {
    /// No answer before the deadline.
    TimedOut,
    /// The connection broke after the request was sent.
    ConnectionLost,
    /// The answer was cut short.
    TornAnswer,
    /// The answer belongs to another request.
    CrossedAnswer,
    /// The answer is larger than the limit.
    OverlongAnswer,
    /// An earlier request with the same key is not finished, or its end is unknown.
    EarlierAttempt,
    /// The request ran before under the same key, and its answer is no longer held.
    AlreadyRan,
}

impl Outcome {
    /// Name of the response header that carries the [`label`](Self::label).
    pub const HEADER: &'static str = "masticfield-outcome";

    /// The value of the outcome header.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun { .. } => "not-run",
            Self::Unknown { .. } => "unknown",
        }
    }

    /// The HTTP status of a response that masticfield makes itself.
    ///
    /// An answered request keeps the status of its upstream; 200 stands for it here.
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
    /// The HTTP status that goes with the reason.
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

    /// A short name for metrics and problem bodies.
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
    /// A short name for metrics and problem bodies.
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
