//! What is left of each service's availability budget.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::Promise;
use serde::{Deserialize, Serialize};

/// Records when services lacked executors.
///
/// Failures, drains and reboots all draw from the same budget: time within the window of the
/// promise during which a service had fewer executors than it needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityLedger {
    services: BTreeMap<Arc<str>, Shortages>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Shortages {
    open_since: Option<Duration>,
    closed: VecDeque<(Duration, Duration)>,
}

impl AvailabilityLedger {
    /// Spans that are kept of a service, at most; the oldest two are joined beyond that.
    pub const MAX_SPANS: usize = 256;

    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records at `now` whether a service lacks executors.
    pub fn record(&mut self, service: &Arc<str>, now: Duration, short: bool) {
        let entry = self.services.entry(Arc::clone(service)).or_default();
        match (short, entry.open_since) {
            (true, None) => entry.open_since = Some(now),
            (false, Some(since)) => {
                entry.open_since = None;
                entry.close(since, now);
            }
            _ => {}
        }
    }

    /// Time within the window that ends at `now` during which a service lacked executors.
    pub fn spent(&self, service: &str, promise: Promise, now: Duration) -> Duration {
        let Some(entry) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let from = now.saturating_sub(promise.window);
        let open = entry.open_since.map(|since| (since, now));
        let spans = entry.closed.iter().copied().chain(open);
        spans
            .map(|(since, until)| until.saturating_sub(since.max(from)))
            .sum()
    }

    /// What is left of the budget of each service at `now`.
    pub fn remaining(&self, config: &FleetConfig, now: Duration) -> BTreeMap<Arc<str>, Duration> {
        let services = config.services().values();
        let left = services.map(|service| {
            let spent = self.spent(&service.name, service.promise, now);
            let left = service.promise.budget().saturating_sub(spent);
            (Arc::clone(&service.name), left)
        });
        left.collect()
    }
}

impl Shortages {
    fn close(&mut self, since: Duration, until: Duration) {
        self.closed.push_back((since, until));
        if self.closed.len() > AvailabilityLedger::MAX_SPANS
            && let (Some(first), Some(second)) = (self.closed.pop_front(), self.closed.pop_front())
        {
            // The joined span ends late enough that no shortage is forgotten early.
            let length = first.1.saturating_sub(first.0) + second.1.saturating_sub(second.0);
            let joined = (second.1.saturating_sub(length), second.1);
            self.closed.push_front(joined);
        }
    }
}
