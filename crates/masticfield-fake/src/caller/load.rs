//! A load of requests on entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticfield_node::clock::since_epoch;
use masticfield_node::http::Client;
use tokio::task::JoinSet;

use super::LoadReport;
use super::report::Seen;

const OUTCOME: HeaderName = HeaderName::from_static("masticfield-outcome");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time within which a caller expects some answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Requests of one service to one or more entries.
#[derive(Debug, Clone)]
pub struct LoadGenerator {
    entries: Vec<SocketAddr>,
    service: Arc<str>,
    pace: Pace,
    callers: usize,
    keyed_share: u64,
    direct: bool,
}

/// When requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// So many in all, each caller as soon as its last one is answered.
    Count(u64),
    /// At an interval for each caller, until the time is over.
    Every(Duration, Duration),
}

struct Caller {
    load: LoadGenerator,
    client: Client,
    number: usize,
    left: Arc<AtomicU64>,
}

impl LoadGenerator {
    /// Creates a load of 100 requests by one caller.
    pub fn new(
        entries: impl IntoIterator<Item = SocketAddr>,
        service: impl Into<Arc<str>>,
    ) -> Self {
        let entries = entries.into_iter().collect();
        let service = service.into();
        Self {
            entries,
            service,
            pace: Pace::Count(100),
            callers: 1,
            keyed_share: 0,
            direct: false,
        }
    }

    /// Sets when requests are sent.
    #[must_use]
    pub const fn pace(mut self, pace: Pace) -> Self {
        self.pace = pace;
        self
    }

    /// Sets how many callers send at the same time.
    #[must_use]
    pub const fn callers(mut self, callers: usize) -> Self {
        self.callers = callers;
        self
    }

    /// Sets that each `share`th request is a POST with an idempotency key; 0 for none.
    #[must_use]
    pub const fn keyed_share(mut self, share: u64) -> Self {
        self.keyed_share = share;
        self
    }

    /// Sets that the addresses are upstreams, which are asked without an entry between.
    #[must_use]
    pub const fn direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Sends the load and reports what came of it.
    pub async fn run(self) -> LoadReport {
        let count = match self.pace {
            Pace::Count(count) => count,
            Pace::Every(..) => u64::MAX,
        };
        let left = Arc::new(AtomicU64::new(count));
        let client = Client::new(CALLER_TIMEOUT);
        let mut callers = JoinSet::new();
        for number in 0..self.callers {
            let (load, client, left) = (self.clone(), client.clone(), Arc::clone(&left));
            callers.spawn(
                Caller {
                    load,
                    client,
                    number,
                    left,
                }
                .run(),
            );
        }
        let mut report = LoadReport::new();
        while let Some(part) = callers.join_next().await {
            match part {
                Ok(part) => report.merge(&part),
                Err(error) => log::error!(error:%; "a caller failed"),
            }
        }
        report
    }
}

impl Caller {
    async fn run(self) -> LoadReport {
        let mut report = LoadReport::new();
        let began = Instant::now();
        for sent in 0.. {
            if !self.waits_for_turn(sent, began).await {
                break;
            }
            let asked = Instant::now();
            let seen = self.ask(sent).await;
            report.record(seen, asked.elapsed());
        }
        report
    }

    /// Waits for the moment of the next request; false once the load is over.
    async fn waits_for_turn(&self, sent: u64, began: Instant) -> bool {
        match self.load.pace {
            Pace::Count(_) => {
                let take = |left: u64| left.checked_sub(1);
                self.left
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
                    .is_ok()
            }
            Pace::Every(interval, total) => {
                let due = interval * u32::try_from(sent).unwrap_or(u32::MAX);
                tokio::time::sleep_until((began + due).into()).await;
                due < total
            }
        }
    }

    async fn ask(&self, sent: u64) -> Seen {
        let turn = self.number + usize::try_from(sent).unwrap_or(0);
        let entry = self.load.entries[turn % self.load.entries.len()];
        let token = format!("/{}-{sent}", self.number);
        let service = if self.load.direct {
            ""
        } else {
            &*self.load.service
        };
        let slash = if self.load.direct { "" } else { "/" };
        let uri = format!("http://{entry}{slash}{service}{token}");
        let keyed = self.load.keyed_share > 0 && sent.is_multiple_of(self.load.keyed_share);
        let (method, headers) = if keyed {
            self.keyed(sent)
        } else {
            (Method::GET, HeaderMap::new())
        };
        match self.client.send(method, &uri, headers, "").await {
            Ok((_, _, body)) if self.load.direct => judge_body(&body, &token),
            Ok((_, headers, body)) => judge(&headers, &body, &token),
            Err(_) => Seen::Unreachable,
        }
    }

    fn keyed(&self, sent: u64) -> (Method, HeaderMap) {
        let since = since_epoch();
        let key = format!(
            "{}-{}-{sent}-{}",
            since.as_secs(),
            self.number,
            since.subsec_nanos()
        );
        let value = HeaderValue::try_from(key).expect("digits and hyphens are a header value");
        (
            Method::POST,
            HeaderMap::from_iter([(IDEMPOTENCY_KEY, value)]),
        )
    }
}

/// Reads the outcome, and checks that an answer belongs to its request.
fn judge(headers: &HeaderMap, body: &[u8], token: &str) -> Seen {
    match headers.get(OUTCOME).map(HeaderValue::as_bytes) {
        Some(b"answered") => judge_body(body, token),
        Some(b"not-run") => Seen::NotRun,
        Some(b"unknown") => Seen::Unknown,
        _ => Seen::Untrue,
    }
}

/// Checks that a body is the whole answer to the request with `token`.
fn judge_body(body: &[u8], token: &str) -> Seen {
    let text = String::from_utf8_lossy(body);
    if text.contains(&format!(" {token} ")) && text.ends_with("bytes\n") {
        Seen::Answered
    } else {
        Seen::Untrue
    }
}
