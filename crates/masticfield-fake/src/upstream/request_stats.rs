//! Statistics of the requests that fake upstreams receive.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

/// Counts of requests; clones share them, so that several upstreams can count together.
#[derive(Debug, Clone, Default)]
pub struct RequestStats(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    requests: AtomicU64,
    in_flight: AtomicU64,
    over_slots: AtomicU64,
    executions_by_key: Mutex<HashMap<Arc<str>, u64>>,
}

impl RequestStats {
    /// Creates statistics without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that were given a slot, including those that still run.
    pub fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }

    /// Requests that hold a slot now.
    pub fn in_flight(&self) -> u64 {
        self.0.in_flight.load(Ordering::Relaxed)
    }

    /// Requests that were refused because all slots were in use; an entry must never cause one.
    pub fn over_slots(&self) -> u64 {
        self.0.over_slots.load(Ordering::Relaxed)
    }

    /// Number of idempotency keys that ran more than once.
    pub fn duplicated_keys(&self) -> usize {
        self.0
            .executions_by_key
            .lock()
            .values()
            .filter(|count| **count > 1)
            .count()
    }

    /// Number of times that a request with this idempotency key ran.
    pub fn executions(&self, key: &str) -> u64 {
        self.0
            .executions_by_key
            .lock()
            .get(key)
            .copied()
            .unwrap_or(0)
    }

    pub(super) fn record_start(&self, key: Option<&str>) {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        self.0.in_flight.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = key {
            *self
                .0
                .executions_by_key
                .lock()
                .entry(key.into())
                .or_default() += 1;
        }
    }

    pub(super) fn record_end(&self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn record_over_slots(&self) {
        self.0.over_slots.fetch_add(1, Ordering::Relaxed);
    }
}
