//! Count of what a replica sends to its peers.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::Traffic;

/// Counts messages and bytes of all links of a replica.
#[derive(Debug, Default)]
pub(crate) struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    /// Counts a message.
    pub(super) fn add(&self, bytes: u64) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// What was counted so far.
    pub(crate) fn traffic(&self) -> Traffic {
        Traffic {
            sent_messages: self.messages.load(Ordering::Relaxed),
            sent_bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}
