//! The entry's side of configuration leases.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LeaseTiming;
use crate::{Guard, Guards};

/// Tracks which version an entry may serve, and until when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    guards: Guards,
    version: u64,
    expires_at: Option<Duration>,
    connected: bool,
    next_sequence: u64,
    last_renewal_at: Option<Duration>,
    /// Times at which unanswered renewals were sent, by sequence number.
    pending_renewals: BTreeMap<u64, Duration>,
}

/// An input of the [`LeaseHolder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HolderEvent {
    /// A connection to a replica was established.
    Connected,
    /// The connection was lost.
    Disconnected,
    /// A configuration was received.
    Config {
        /// The version of the configuration.
        version: u64,
    },
    /// A lease was received.
    Lease {
        /// Number of the renewal that is granted.
        sequence: u64,
        /// The version that the lease is for.
        version: u64,
        /// Duration of the lease, counted from the sending of the renewal.
        ttl: Duration,
    },
    /// Time has passed.
    Tick,
}

/// An output of the [`LeaseHolder`], to be carried out by the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HolderAction {
    /// Request a lease, and acknowledge the received version.
    Renew {
        /// Number of the renewal, which the grant repeats.
        sequence: u64,
        /// The latest version that the entry has received; 0 before the first.
        version: u64,
    },
    /// Serve the configuration just received from now on.
    Adopt {
        /// The version of the configuration.
        version: u64,
    },
}

impl LeaseHolder {
    /// Creates the holder of an entry that has just started and serves nothing yet.
    pub const fn new(timing: LeaseTiming) -> Self {
        Self::with_guards(timing, Guards::all())
    }

    /// Creates a holder with a subset of the safety rules; for tests only.
    pub const fn with_guards(timing: LeaseTiming, guards: Guards) -> Self {
        Self {
            timing,
            guards,
            version: 0,
            expires_at: None,
            connected: false,
            next_sequence: 1,
            last_renewal_at: None,
            pending_renewals: BTreeMap::new(),
        }
    }

    /// The latest version received; 0 before the first.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The version that the entry may serve at `now`; `None` without a lease.
    pub fn serving(&self, now: Duration) -> Option<u64> {
        let is_leased = self.expires_at.is_some_and(|expires_at| now < expires_at);
        let is_lease_needed = self.guards.holds(Guard::LeaseNeeded);
        (self.version > 0 && (is_leased || !is_lease_needed)).then_some(self.version)
    }

    /// When the latest lease expires; `None` before the first.
    pub const fn expires_at(&self) -> Option<Duration> {
        self.expires_at
    }

    /// Handles an event at `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Duration, event: HolderEvent) -> Vec<HolderAction> {
        match event {
            HolderEvent::Connected => {
                self.connected = true;
                vec![self.renew(now)]
            }
            HolderEvent::Disconnected => {
                self.connected = false;
                Vec::new()
            }
            HolderEvent::Config { version } => self.adopt(now, version),
            HolderEvent::Lease {
                sequence,
                version,
                ttl,
            } => {
                self.extend(now, sequence, version, ttl);
                Vec::new()
            }
            HolderEvent::Tick => self.tick(now),
        }
    }

    fn adopt(&mut self, now: Duration, version: u64) -> Vec<HolderAction> {
        if version <= self.version && self.guards.holds(Guard::VersionRises) {
            return Vec::new();
        }
        self.version = version;
        let adopt = HolderAction::Adopt { version };
        if self.connected {
            vec![adopt, self.renew(now)]
        } else {
            vec![adopt]
        }
    }

    /// Extends the lease if its version, or a later one, has been received.
    fn extend(&mut self, now: Duration, sequence: u64, version: u64, ttl: Duration) {
        let Some(mut start) = self.pending_renewals.remove(&sequence) else {
            return;
        };
        if version > self.version {
            return;
        }
        if !self.guards.holds(Guard::LeaseFromRenewal) {
            start = now;
        }
        self.expires_at = self.expires_at.max(Some(start + ttl));
    }

    fn tick(&mut self, now: Duration) -> Vec<HolderAction> {
        let due = self
            .last_renewal_at
            .is_none_or(|last| now >= last + self.timing.renewal_interval);
        if self.connected && due {
            vec![self.renew(now)]
        } else {
            Vec::new()
        }
    }

    fn renew(&mut self, now: Duration) -> HolderAction {
        let (sequence, version) = (self.next_sequence, self.version);
        self.next_sequence += 1;
        self.last_renewal_at = Some(now);
        let lease = self.timing.lease;
        self.pending_renewals
            .retain(|_, sent_at| now < *sent_at + lease);
        self.pending_renewals.insert(sequence, now);
        HolderAction::Renew { sequence, version }
    }
}
