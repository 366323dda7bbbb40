//! Accounting of availability budgets.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::config::FleetConfig;
use masticfield_core::note::Promise;
use serde::{Deserialize, Serialize};

/// Records the periods in which services had fewer serving hosts than they need.
///
/// Failures, drains and reboots all draw on the same budget: the time for which a service may be
/// short of hosts within the window of its promise.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityLedger {
    services: BTreeMap<Arc<str>, Shortages>,
}

#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Shortages {
    /// Start of the current shortage; `None` while the service has enough hosts.
    open_since: Option<Duration>,
    /// Start and end of past shortages, oldest first.
    closed: VecDeque<(Duration, Duration)>,
}

impl AvailabilityLedger {
    /// Maximum number of past shortages kept for a service; beyond it, the oldest two are merged.
    pub const MAX_SPANS: usize = 256;

    /// Creates an empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records whether a service is short of hosts at `now`.
    pub fn record(&mut self, service: &Arc<str>, now: Duration, is_short: bool) {
        let entry = self.services.entry(Arc::clone(service)).or_default();
        match (is_short, entry.open_since) {
            (true, None) => entry.open_since = Some(now),
            (false, Some(since)) => {
                entry.open_since = None;
                entry.close(since, now);
            }
            _ => {}
        }
    }

    /// Time during which a service was short within the promise window that ends at `now`.
    pub fn spent(&self, service: &str, promise: Promise, now: Duration) -> Duration {
        let Some(entry) = self.services.get(service) else {
            return Duration::ZERO;
        };
        let window_start = now.saturating_sub(promise.window);
        let open = entry.open_since.map(|since| (since, now));
        let spans = entry.closed.iter().copied().chain(open);
        spans
            .map(|(since, until)| until.saturating_sub(since.max(window_start)))
            .sum()
    }

    /// Remaining availability budget of each configured service at `now`.
    pub fn remaining(&self, config: &FleetConfig, now: Duration) -> BTreeMap<Arc<str>, Duration> {
        let services = config.services().values();
        let budgets = services.map(|service| {
            let spent = self.spent(&service.name, service.promise, now);
            let remaining = service.promise.budget().saturating_sub(spent);
            (Arc::clone(&service.name), remaining)
        });
        budgets.collect()
    }
}

impl Shortages {
    fn close(&mut self, since: Duration, until: Duration) {
        self.closed.push_back((since, until));
        if self.closed.len() > AvailabilityLedger::MAX_SPANS
            && let (Some(first), Some(second)) = (self.closed.pop_front(), self.closed.pop_front())
        {
            // The merged span ends with the later one, so that it does not leave the window early.
            let length = first.1.saturating_sub(first.0) + second.1.saturating_sub(second.0);
            let merged = (second.1.saturating_sub(length), second.1);
            self.closed.push_front(merged);
        }
    }
}
