//! A response in the form in which it is stored and sent to peers.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use masticfield_node::http::Reply;
use serde::{Deserialize, Serialize};

/// Headers that are set anew for each exchange with a caller, and so are not stored.
const PER_EXCHANGE_HEADERS: [&str; 2] = ["traceparent", "tracestate"];

/// A complete response of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredResponse {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl StoredResponse {
    /// Copies a reply. Its body is in memory, so this never waits.
    pub(crate) async fn from_reply(reply: &Reply) -> Self {
        let headers = reply.headers().iter();
        let headers = headers.filter(|(name, _)| !PER_EXCHANGE_HEADERS.contains(&name.as_str()));
        let Ok(body) = reply.body().clone().collect().await;
        Self {
            status: reply.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect(),
            body: body.to_bytes(),
        }
    }

    /// Returns the bytes of the headers and the body, which approximates the memory used.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// Converts back into a reply; `None` if a peer sent an invalid status or header.
    pub(crate) fn into_reply(self) -> Option<Reply> {
        let mut reply = Response::new(Full::new(self.body));
        *reply.status_mut() = StatusCode::from_u16(self.status).ok()?;
        for (name, value) in self.headers {
            let name: HeaderName = name.parse().ok()?;
            let value = HeaderValue::from_bytes(&value).ok()?;
            reply.headers_mut().append(name, value);
        }
        Some(reply)
    }
}
