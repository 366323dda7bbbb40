//! Addresses at which other entries may be reached.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of addresses learned from peers.
const MAX_LEARNED: usize = 64;

/// Configured addresses, and those learned from peers.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// The time at which a peer first named the address; `None` if it is configured.
    addresses: BTreeMap<SocketAddr, Option<Instant>>,
}

impl Contacts {
    /// Creates contacts with the configured addresses.
    pub(super) fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            addresses: seeds.into_iter().map(|address| (address, None)).collect(),
        }
    }

    /// Adds an address named by a peer, unless there are too many already.
    pub(super) fn learn(&mut self, address: SocketAddr, now: Instant) {
        let learned = self.addresses.values().filter(|at| at.is_some()).count();
        if learned < MAX_LEARNED {
            self.addresses.entry(address).or_insert(Some(now));
        }
    }

    /// Removes the addresses that were learned longer than `max_age` ago.
    pub(super) fn expire(&mut self, now: Instant, max_age: Duration) {
        let recent = |at: Instant| now.saturating_duration_since(at) < max_age;
        self.addresses.retain(|_, at| at.is_none_or(recent));
    }

    /// All addresses, in ascending order.
    pub(super) fn iter(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.addresses.keys().copied()
    }
}
