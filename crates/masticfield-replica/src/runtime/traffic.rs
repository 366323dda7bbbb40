//! Counters of the messages sent to peers.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Traffic;

/// Counts messages and bytes on all links of a replica.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    /// Counts one message of the given size.
    pub(super) fn add(&self, bytes: u64) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Totals since the start of the replica.
    pub(crate) fn totals(&self) -> Traffic {
        Traffic {
            sent_messages: self.messages.load(Ordering::Relaxed),
            sent_bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
