//! Load generator that sends requests to entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Method};
use masticfield_node::clock::since_epoch;
use masticfield_node::http::Client;
use tokio::task::JoinSet;

use super::LoadReport;
use super::report::RequestResult;

const OUTCOME: HeaderName = HeaderName::from_static("masticfield-outcome");
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Time after which a caller gives up on a request.
const CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests for one service to one or more entries in turn.
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
    /// A total number of requests; each caller sends its next one once the last has ended.
    Count(u64),
    /// An interval between the requests of a caller, and the duration of the load. A caller whose
    /// request takes longer than the interval sends the overdue ones without a pause.
    Every(Duration, Duration),
}

/// One of the concurrent callers; it has at most one request in flight.
struct Caller {
    settings: LoadGenerator,
    client: Client,
    number: usize,
    /// Requests that all callers together have yet to send.
    remaining: Arc<AtomicU64>,
}

impl LoadGenerator {
    /// Creates a generator of 100 requests by one caller.
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

    /// Sets the number of concurrent callers.
    #[must_use]
    pub const fn callers(mut self, callers: usize) -> Self {
        self.callers = callers;
        self
    }

    /// Makes every `share`th request of a caller a POST with an idempotency key; 0 for none.
    #[must_use]
    pub const fn keyed_share(mut self, share: u64) -> Self {
        self.keyed_share = share;
        self
    }

    /// Treats the addresses as upstreams and sends requests to them directly, without an entry.
    #[must_use]
    pub const fn direct(mut self) -> Self {
        self.direct = true;
        self
    }

    /// Sends all requests and returns the report of all callers.
    pub async fn run(self) -> LoadReport {
        let count = match self.pace {
            Pace::Count(count) => count,
            Pace::Every(..) => u64::MAX,
        };
        let remaining = Arc::new(AtomicU64::new(count));
        let client = Client::new(CALLER_TIMEOUT);
        let mut callers = JoinSet::new();
        for number in 0..self.callers {
            let (settings, client, remaining) =
                (self.clone(), client.clone(), Arc::clone(&remaining));
            callers.spawn(
                Caller {
                    settings,
                    client,
                    number,
                    remaining,
                }
                .run(),
            );
        }
        let mut report = LoadReport::new();
        while let Some(part) = callers.join_next().await {
            match part {
                Ok(part) => report.merge(&part),
                Err(error) => log::error!(error:%; "a caller task failed"),
            }
        }
        report
    }
}

impl Caller {
    async fn run(self) -> LoadReport {
        let mut report = LoadReport::new();
        let started = Instant::now();
        for sent in 0.. {
            if !self.wait_until_due(sent, started).await {
                break;
            }
            let sent_at = Instant::now();
            let result = self.send_request(sent).await;
            report.record(result, sent_at.elapsed());
        }
        report
    }

    /// Waits until request number `sent` is due; false if no further request is to be sent.
    async fn wait_until_due(&self, sent: u64, started: Instant) -> bool {
        match self.settings.pace {
            Pace::Count(_) => {
                let decrement = |remaining: u64| remaining.checked_sub(1);
                self.remaining
                    .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                    .is_ok()
            }
            Pace::Every(interval, duration) => {
                let due = interval * u32::try_from(sent).unwrap_or(u32::MAX);
                tokio::time::sleep_until((started + due).into()).await;
                due < duration
            }
        }
    }

    async fn send_request(&self, sent: u64) -> RequestResult {
        let position = self.number + usize::try_from(sent).unwrap_or(0);
        let entry = self.settings.entries[position % self.settings.entries.len()];
        let path = format!("/{}-{sent}", self.number);
        let service = if self.settings.direct {
            ""
        } else {
            &*self.settings.service
        };
        let slash = if self.settings.direct { "" } else { "/" };
        let uri = format!("http://{entry}{slash}{service}{path}");
        let keyed = self.settings.keyed_share > 0 && sent.is_multiple_of(self.settings.keyed_share);
        let (method, headers) = if keyed {
            self.keyed_post(sent)
        } else {
            (Method::GET, HeaderMap::new())
        };
        match self.client.send(method, &uri, headers, "").await {
            Ok((_, _, body)) if self.settings.direct => classify_body(&body, &path),
            Ok((_, headers, body)) => classify(&headers, &body, &path),
            Err(_) => RequestResult::Unreachable,
        }
    }

    /// Method and headers of a request with an idempotency key that no other request uses.
    fn keyed_post(&self, sent: u64) -> (Method, HeaderMap) {
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

/// Classifies a response of an entry by its outcome header and body.
fn classify(headers: &HeaderMap, body: &[u8], path: &str) -> RequestResult {
    match headers.get(OUTCOME).map(HeaderValue::as_bytes) {
        Some(b"answered") => classify_body(body, path),
        Some(b"not-run") => RequestResult::NotRun,
        Some(b"unknown") => RequestResult::Unknown,
        _ => RequestResult::Mismatched,
    }
}

/// Checks that a body is the complete answer of a fake upstream to the request for `path`.
fn classify_body(body: &[u8], path: &str) -> RequestResult {
    let text = String::from_utf8_lossy(body);
    if text.contains(&format!(" {path} ")) && text.ends_with("bytes\n") {
        RequestResult::Answered
    } else {
        RequestResult::Mismatched
    }
}
