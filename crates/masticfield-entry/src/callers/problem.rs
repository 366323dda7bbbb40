//! Responses that the entry creates itself, as problem details (RFC 9457).

use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use masticfield_node::http::{Reply, json_reply};
use serde::Serialize;

use super::headers::OUTCOME;

/// Problem details as JSON.
#[derive(Debug, Serialize)]
struct ProblemBody {
    #[serde(rename = "type")]
    kind: String,
    title: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u128>,
}

/// Creates the response for an outcome without a response of an upstream.
pub(super) fn problem_reply(outcome: Outcome) -> Reply {
    let (reason, title, retry_after) = match outcome {
        Outcome::NotRun {
            reason,
            retry_after,
        } => (reason.label(), not_run_title(reason), Some(retry_after)),
        Outcome::Unknown { reason } => (reason.label(), unknown_title(reason), None),
        Outcome::Answered => ("", "answered", None),
    };
    let body = ProblemBody {
        kind: format!("urn:masticfield:{}:{reason}", outcome.label()),
        title,
        status: outcome.status(),
        outcome: outcome.label(),
        reason,
        retry_after_ms: retry_after.map(|after| after.as_millis()),
    };
    let status = StatusCode::from_u16(outcome.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut reply = json_reply(status, &body);
    let headers = reply.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(OUTCOME, HeaderValue::from_static(outcome.label()));
    if let Some(after) = retry_after {
        let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    reply
}

const fn not_run_title(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Overloaded => "The service cannot finish the request before its deadline.",
        NotRunReason::CallerShare => "The caller holds more than its share of the service.",
        NotRunReason::DeadlinePassed => "The deadline passed before the request was sent.",
        NotRunReason::NoUpstream => "No executor of the service can be used.",
        NotRunReason::UnknownService => "There is no such service.",
        NotRunReason::NoConfiguration => "This entry holds no configuration lease.",
        NotRunReason::Stopping => "This entry is stopping.",
        NotRunReason::ClaimUnavailable => "The idempotency key could not be made durable.",
        NotRunReason::KeyExpired => "The idempotency key is too old.",
        NotRunReason::RefusedByUpstream => "Every executor that was tried refused the request.",
        NotRunReason::BadRequest => "The request is malformed or over a limit.",
        NotRunReason::KeyMissing => {
            "A request with this method needs an Idempotency-Key of the form <Unix seconds>-<text>."
        }
        NotRunReason::KeyReused => "The idempotency key was used for another request.",
    }
}

const fn unknown_title(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::TimedOut => "The executor did not answer before the deadline.",
        UnknownReason::ConnectionLost => "The connection to the executor broke.",
        UnknownReason::TornAnswer => "The answer of the executor was cut short.",
        UnknownReason::CrossedAnswer => "The executor answered another request.",
        UnknownReason::OverlongAnswer => "The answer of the executor is over the limit.",
        UnknownReason::EarlierAttempt => "An earlier request with this key has no known end.",
        UnknownReason::AlreadyRan => "The request ran once; its answer is no longer held.",
    }
}
