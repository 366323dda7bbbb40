//! Headers of the request path.

use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Identifies a dispatch; the upstream must echo it.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("masticfield-request-id");

/// Time within which the caller needs the response, in milliseconds.
pub(super) const DEADLINE_MS: HeaderName = HeaderName::from_static("masticfield-deadline-ms");

/// Name of the caller, which is the unit of fairness; by default its IP address.
pub(super) const CALLER: HeaderName = HeaderName::from_static("masticfield-caller");

/// Availability zone of the caller.
pub(super) const ZONE: HeaderName = HeaderName::from_static("masticfield-zone");

/// Outcome of a request; `not-run` from an upstream proves that it did not start it.
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("masticfield-outcome");

/// Key under which a request that is not idempotent runs at most once; chosen by the caller.
pub(super) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Headers that apply to a single connection, besides those that `Connection` names.
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

/// Removes the headers that apply to a single connection, so that the message can be forwarded.
///
/// `Host` and `Content-Length` go too: the HTTP library sets them anew.
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
