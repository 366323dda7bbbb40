//! What a stand-in for an upstream saw.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;

/// Counts of requests, shared by every stand-in that is given a clone.
#[derive(Debug, Clone, Default)]
pub struct RequestStats(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    requests: AtomicU64,
    in_flight: AtomicU64,
    over_slots: AtomicU64,
    by_key: Mutex<HashMap<Arc<str>, u64>>,
}

impl RequestStats {
    /// Creates counts of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that ran.
    pub fn requests(&self) -> u64 {
        self.0.requests.load(Ordering::Relaxed)
    }

    /// Requests that run now.
    pub fn in_flight(&self) -> u64 {
        self.0.in_flight.load(Ordering::Relaxed)
    }

    /// Requests that arrived while every slot was taken.
    pub fn over_slots(&self) -> u64 {
        self.0.over_slots.load(Ordering::Relaxed)
    }

    /// Idempotency keys that ran more than once.
    pub fn duplicated_keys(&self) -> usize {
        self.0
            .by_key
            .lock()
            .values()
            .filter(|count| **count > 1)
            .count()
    }

    /// How often the request with an idempotency key ran.
    pub fn executions(&self, key: &str) -> u64 {
        self.0.by_key.lock().get(key).copied().unwrap_or(0)
    }

    pub(super) fn begin(&self, key: Option<&str>) {
        self.0.requests.fetch_add(1, Ordering::Relaxed);
        self.0.in_flight.fetch_add(1, Ordering::Relaxed);
        if let Some(key) = key {
            *self.0.by_key.lock().entry(key.into()).or_default() += 1;
        }
    }

    pub(super) fn end(&self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }

    pub(super) fn exceed(&self) {
        self.0.over_slots.fetch_add(1, Ordering::Relaxed);
    }
}
