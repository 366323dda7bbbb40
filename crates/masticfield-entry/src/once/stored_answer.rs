//! An answer as it is held and sent to peers.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use masticfield_node::http::Reply;
use serde::{Deserialize, Serialize};

/// Headers that belong to one exchange with the caller only.
const PER_EXCHANGE: [&str; 2] = ["traceparent", "tracestate"];

/// A whole answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StoredAnswer {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl StoredAnswer {
    /// Copies a reply, whose body is there already.
    pub(crate) async fn of(reply: &Reply) -> Self {
        let headers = reply.headers().iter();
        let headers = headers.filter(|(name, _)| !PER_EXCHANGE.contains(&name.as_str()));
        let Ok(body) = reply.body().clone().collect().await;
        Self {
            status: reply.status().as_u16(),
            headers: headers
                .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
                .collect(),
            body: body.to_bytes(),
        }
    }

    /// Bytes that it takes up, roughly.
    pub(crate) fn size(&self) -> usize {
        let headers = self.headers.iter();
        let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }

    /// The reply again; none if a peer sent what is no reply.
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
