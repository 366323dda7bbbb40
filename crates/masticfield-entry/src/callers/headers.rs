//! Headers of the request path.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Identifies a dispatch; an upstream echoes it.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("masticfield-request-id");

/// Time within which the caller needs the answer, in milliseconds.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("masticfield-deadline-ms");

/// Name of the caller, the unit of fairness; its address if it gives none.
pub(super) const CALLER: HeaderName = HeaderName::from_static("masticfield-caller");

/// Availability zone of the caller.
pub(super) const ZONE: HeaderName = HeaderName::from_static("masticfield-zone");

/// The outcome of a request; an upstream that proves "not run" sends it too.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("masticfield-outcome");

/// The caller's key of a request that must run at most once.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that concern one connection only.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes what concerns one connection only, so that a message can be sent on another.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
    headers.remove(HOST);
    headers.remove(CONTENT_LENGTH);
}
