//! Entries that run in the test process, with a fake control replica and fake upstreams.
#![expect(dead_code, reason = "each test file uses a part")]

mod fake_control;
mod fake_upstream;
pub mod relay;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use clap::Parser;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use masticfield_core::ids::Incarnation;
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_entry::{EntryArgs, RunningEntry};
use masticfield_node::http::Client;

pub use fake_control::FakeControl;
pub use fake_upstream::FakeUpstream;

/// Time limit for responses and for conditions that tests wait for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of the next idempotency key.
static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

/// A response of an entry to a caller.
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl CallerResponse {
    pub fn outcome(&self) -> &str {
        self.headers["masticfield-outcome"].to_str().unwrap()
    }

    /// Returns the reason in a response that the entry created itself.
    pub fn reason(&self) -> String {
        let problem: serde_json::Value = serde_json::from_slice(&self.body).unwrap();
        problem["reason"].as_str().unwrap().to_owned()
    }
}

/// Starts an entry with further flags.
pub async fn start_entry(number: u16, control: &FakeControl, flags: &[String]) -> RunningEntry {
    let mut args = vec![
        "masticfield-entry".to_owned(),
        format!("--entry={number}"),
        "--zone=zone-1".to_owned(),
        format!("--control={}", control.address),
        "--caller-listen=127.0.0.1:0".to_owned(),
        "--upstream-listen=127.0.0.1:0".to_owned(),
        "--lease-renewal=100ms".to_owned(),
        "--stop-linger=0s".to_owned(),
    ];
    args.extend_from_slice(flags);
    let settings = EntryArgs::parse_from(args).check().unwrap();
    RunningEntry::start(settings).await.unwrap()
}

/// Returns the address on which an entry serves `caller`, `upstream` or `peer`.
pub fn address(entry: &RunningEntry, name: &str) -> SocketAddr {
    entry.addresses().address(name).unwrap()
}

pub fn announcement(
    id: &str,
    zone: &str,
    address: SocketAddr,
    state: UpstreamState,
) -> Announcement {
    Announcement {
        id: id.into(),
        incarnation: Incarnation::new(1),
        service: "shop".into(),
        address,
        host: "host-1".into(),
        zone: zone.into(),
        slots: 8,
        connections: 64,
        state,
    }
}

pub async fn announce(entry: &RunningEntry, announcement: &Announcement) -> StatusCode {
    let uri = format!("http://{}/v1/upstreams", address(entry, "upstream"));
    let client = Client::new(WAIT_TIMEOUT);
    client
        .send_json(Method::POST, &uri, announcement)
        .await
        .unwrap()
        .0
}

/// Returns an idempotency key that was never used before.
pub fn fresh_key() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs();
    format!("{now}-{}", NEXT_KEY.fetch_add(1, Ordering::Relaxed))
}

pub async fn request(
    entry: &RunningEntry,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
) -> CallerResponse {
    try_request(address(entry, "caller"), method, path, headers)
        .await
        .unwrap()
}

/// Sends a request to an entry; returns `None` if the entry does not respond.
pub async fn try_request(
    caller_address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
) -> Option<CallerResponse> {
    let headers = headers.iter().map(|(name, value)| {
        (
            name.parse::<http::HeaderName>().unwrap(),
            HeaderValue::from_str(value).unwrap(),
        )
    });
    let uri = format!("http://{caller_address}/shop{path}");
    let client = Client::new(WAIT_TIMEOUT);
    let sent = client.send(method, &uri, headers.collect(), "order").await;
    let (status, headers, body) = sent.ok()?;
    Some(CallerResponse {
        status,
        headers,
        body,
    })
}

pub async fn get(entry: &RunningEntry, path: &str) -> CallerResponse {
    request(entry, Method::GET, path, &[]).await
}

pub async fn post(entry: &RunningEntry, path: &str, key: &str) -> CallerResponse {
    request(entry, Method::POST, path, &[("idempotency-key", key)]).await
}

/// Waits until `entry` holds a lease and knows an upstream, so that requests are answered.
pub async fn wait_until_serving(entry: &RunningEntry) {
    wait_until(async || get(entry, "/whole").await.outcome() == "answered").await;
}

/// Polls a condition until it holds; panics if it does not within the time limit.
pub async fn wait_until(condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .expect("the condition was not met in time");
}
