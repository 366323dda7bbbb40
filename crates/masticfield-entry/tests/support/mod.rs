//! Entries in this process, with a stand-in for control and upstreams that misbehave.
#![expect(dead_code, reason = "each test file uses a part")]

mod control;
pub mod relay;
mod upstream;

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

pub use control::Control;
pub use upstream::Upstream;

/// Longest wait for something that is certain to come.
const PATIENCE: Duration = Duration::from_secs(20);

static KEYS: AtomicU64 = AtomicU64::new(0);

pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn outcome(&self) -> &str {
        self.headers["masticfield-outcome"].to_str().unwrap()
    }

    pub fn reason(&self) -> String {
        let problem: serde_json::Value = serde_json::from_slice(&self.body).unwrap();
        problem["reason"].as_str().unwrap().to_owned()
    }
}

pub async fn start_entry(number: u16, control: &Control, more: &[String]) -> RunningEntry {
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
    args.extend_from_slice(more);
    let settings = EntryArgs::parse_from(args).check().unwrap();
    RunningEntry::start(settings).await.unwrap()
}

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

pub async fn announce(entry: &RunningEntry, news: &Announcement) -> StatusCode {
    let uri = format!("http://{}/v1/upstreams", address(entry, "upstream"));
    let client = Client::new(PATIENCE);
    client.send_json(Method::POST, &uri, news).await.unwrap().0
}

/// An idempotency key that was never used before.
pub fn fresh_key() -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_secs();
    format!("{now}-{}", KEYS.fetch_add(1, Ordering::Relaxed))
}

pub async fn ask(
    entry: &RunningEntry,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
) -> Answer {
    try_ask(address(entry, "caller"), method, path, headers)
        .await
        .unwrap()
}

/// Asks an entry that may be gone.
pub async fn try_ask(
    caller_address: SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
) -> Option<Answer> {
    let headers = headers.iter().map(|(name, value)| {
        (
            name.parse::<http::HeaderName>().unwrap(),
            HeaderValue::from_str(value).unwrap(),
        )
    });
    let uri = format!("http://{caller_address}/shop{path}");
    let client = Client::new(PATIENCE);
    let sent = client.send(method, &uri, headers.collect(), "order").await;
    let (status, headers, body) = sent.ok()?;
    Some(Answer {
        status,
        headers,
        body,
    })
}

pub async fn get(entry: &RunningEntry, path: &str) -> Answer {
    ask(entry, Method::GET, path, &[]).await
}

pub async fn post(entry: &RunningEntry, path: &str, key: &str) -> Answer {
    ask(entry, Method::POST, path, &[("idempotency-key", key)]).await
}

/// Waits until a request through `entry` is answered, so that it serves and knows an upstream.
pub async fn until_answered(entry: &RunningEntry) {
    until(async || get(entry, "/whole").await.outcome() == "answered").await;
}

/// Waits until `holds`, for as long as is reasonable.
pub async fn until(holds: impl AsyncFn() -> bool) {
    let wait = async {
        while !holds().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait)
        .await
        .expect("it should hold by now");
}
