//! Addresses at which entries may be found.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Most addresses that are kept besides the configured ones.
const MAX_HEARSAY: usize = 64;

/// Configured addresses, and those that peers named.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    /// When a peer named the address; none if it is configured.
    addresses: BTreeMap<SocketAddr, Option<Instant>>,
}

impl Contacts {
    /// Creates contacts with the configured addresses.
    pub(super) fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            addresses: seeds.into_iter().map(|address| (address, None)).collect(),
        }
    }

    /// Keeps an address that a peer named.
    pub(super) fn learn(&mut self, address: SocketAddr, now: Instant) {
        let hearsay = self.addresses.values().filter(|at| at.is_some()).count();
        if hearsay < MAX_HEARSAY {
            self.addresses.entry(address).or_insert(Some(now));
        }
    }

    /// Drops the addresses that were named longer than `forget` ago.
    pub(super) fn forget(&mut self, now: Instant, forget: Duration) {
        let recent = |at: Instant| now.saturating_duration_since(at) < forget;
        self.addresses.retain(|_, at| at.is_none_or(recent));
    }

    /// The addresses.
    pub(super) fn iter(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.addresses.keys().copied()
    }
}
