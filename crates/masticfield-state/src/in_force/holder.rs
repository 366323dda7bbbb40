//! The entry's side of configuration leases.

use std::collections::BTreeMap;
use std::time::Duration;

use super::LeaseTiming;
use crate::{Guard, Guards};

/// What an entry may serve, and until when.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    guards: Guards,
    version: u64,
    until: Option<Duration>,
    connected: bool,
    next_sequence: u64,
    last_sent: Option<Duration>,
    sent: BTreeMap<u64, Duration>,
}

/// What happens at an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HolderEvent {
    /// A connection to a replica stands.
    Connected,
    /// The connection is gone.
    Disconnected,
    /// A configuration arrived.
    Config {
        /// Its version.
        version: u64,
    },
    /// A lease arrived.
    Lease {
        /// The number of the renewal that it answers.
        sequence: u64,
        /// The version that it is for.
        version: u64,
        /// How long it lasts from when the renewal was sent.
        ttl: Duration,
    },
    /// Time has passed.
    Tick,
}

/// What an entry does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HolderAction {
    /// Asks for a lease and acknowledges the version.
    Renew {
        /// Number of the renewal.
        sequence: u64,
        /// The version that the entry serves; 0 if it has none.
        version: u64,
    },
    /// Serves the configuration that has just arrived from now on.
    Adopt {
        /// Its version.
        version: u64,
    },
}

impl LeaseHolder {
    /// Creates the side of an entry that has just started; it serves nothing yet.
    pub const fn new(timing: LeaseTiming) -> Self {
        Self::with_guards(timing, Guards::all())
    }

    /// Creates the side of an entry at which only `guards` hold. For checks.
    pub const fn with_guards(timing: LeaseTiming, guards: Guards) -> Self {
        Self {
            timing,
            guards,
            version: 0,
            until: None,
            connected: false,
            next_sequence: 1,
            last_sent: None,
            sent: BTreeMap::new(),
        }
    }

    /// The latest version that has arrived; 0 before the first.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The version that the entry may serve at `now`; nothing without a lease.
    pub fn serving(&self, now: Duration) -> Option<u64> {
        let leased = self.until.is_some_and(|until| now < until);
        let needed = self.guards.holds(Guard::LeaseNeeded);
        (self.version > 0 && (leased || !needed)).then_some(self.version)
    }

    /// When the lease runs out, if there was one.
    pub const fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Takes an event at `now`.
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

    /// Prolongs the lease if its version, or a later one, has arrived.
    fn extend(&mut self, now: Duration, sequence: u64, version: u64, ttl: Duration) {
        let Some(mut from) = self.sent.remove(&sequence) else {
            return;
        };
        if version > self.version {
            return;
        }
        if !self.guards.holds(Guard::LeaseFromRenewal) {
            from = now;
        }
        self.until = self.until.max(Some(from + ttl));
    }

    fn tick(&mut self, now: Duration) -> Vec<HolderAction> {
        let due = self
            .last_sent
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
        self.last_sent = Some(now);
        let lease = self.timing.lease;
        self.sent.retain(|_, sent| now < *sent + lease);
        self.sent.insert(sequence, now);
        HolderAction::Renew { sequence, version }
    }
}
