//! Requests to control programs, through the proxies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, LOCATION};
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use masticfield_node::http::Client;

/// Time limit for a response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Number of redirections that are followed.
const MAX_REDIRECTIONS: usize = 2;

/// The proxies by which stand-ins reach programs.
#[derive(Debug, Clone, Default)]
pub(crate) struct Routes {
    /// The proxy of each address of a program.
    proxies: BTreeMap<SocketAddr, SocketAddr>,
}

impl Routes {
    pub(crate) fn add(&mut self, address: SocketAddr, proxy: SocketAddr) {
        self.proxies.insert(address, proxy);
    }

    /// The proxy of an address, or the address itself if there is none.
    pub(crate) fn via(&self, address: SocketAddr) -> SocketAddr {
        self.proxies.get(&address).copied().unwrap_or(address)
    }
}

/// Sends requests to control programs and follows redirections.
#[derive(Debug, Clone)]
pub(crate) struct ControlClient {
    client: Client,
    routes: Arc<Routes>,
}

impl ControlClient {
    pub(crate) fn new(routes: Arc<Routes>) -> Self {
        Self {
            client: Client::new(TIMEOUT),
            routes,
        }
    }

    /// Sends a request to an address; none if there is no response.
    pub(crate) async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: &str,
    ) -> Option<(StatusCode, Bytes)> {
        let mut address = address;
        for _ in 0..=MAX_REDIRECTIONS {
            let uri = format!("http://{}{path}", self.routes.via(address));
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            let body = Bytes::copy_from_slice(body.as_bytes());
            let sent = self.client.send(method.clone(), &uri, headers, body).await;
            let (status, headers, body) = sent.ok()?;
            if status != StatusCode::TEMPORARY_REDIRECT {
                return Some((status, body));
            }
            address = redirection(&headers)?;
        }
        None
    }
}

fn redirection(headers: &HeaderMap) -> Option<SocketAddr> {
    let uri: Uri = headers.get(LOCATION)?.to_str().ok()?.parse().ok()?;
    uri.authority()?.as_str().parse().ok()
}
