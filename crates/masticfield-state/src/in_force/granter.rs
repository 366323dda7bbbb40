//! The leader's side of configuration leases.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};

use super::LeaseTiming;
use crate::{Guard, Guards};

/// The leases that a leader has granted, and those that earlier leaders may have granted.
///
/// A leader creates it once it has applied the first command of its own term, and drops it when
/// it leads no more.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    guards: Guards,
    lead_until: Option<Duration>,
    version: u64,
    in_force: u64,
    holders: BTreeMap<(EntryId, Incarnation), Holder>,
}

/// What the leader knows of one incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    /// The version that it acknowledged; it never serves a lower one.
    acknowledged: u64,
    /// When its last lease has run out at the latest.
    until: Duration,
    /// Whether its removal is proposed; it gets no lease before the removal is committed.
    removing: bool,
    /// Whether `until` is the end of a lease, and not only of its registration.
    leased: bool,
}

/// How far an entry is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EntryProgress {
    /// The entry.
    pub entry: EntryId,
    /// The version that it acknowledged.
    pub acknowledged: u64,
    /// Whether it may hold a lease.
    pub leased: bool,
}

/// What happens at the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GranterEvent {
    /// No other replica can lead until then.
    LeadershipLease {
        /// The end of the leadership lease.
        until: Duration,
    },
    /// A release note was committed.
    Committed {
        /// The version of the configuration.
        version: u64,
    },
    /// The registration of an entry was committed.
    Registered {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// The removal of an incarnation of an entry was committed.
    Removed {
        /// The entry.
        entry: EntryId,
        /// The incarnation.
        incarnation: Incarnation,
    },
    /// An entry asks for a lease.
    Renew {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Number of the renewal.
        sequence: u64,
        /// The version that it serves.
        version: u64,
    },
    /// Time has passed.
    Tick,
}

/// What the leader does next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GranterAction {
    /// Proposes the registration of an entry.
    Register {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Proposes the removal of an incarnation whose leases have all run out.
    Remove {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Sends the latest configuration over the connection of an incarnation, if it stands.
    SendConfig {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Sends a lease over the connection of an incarnation; to another one it means nothing.
    Grant {
        /// The entry.
        entry: EntryId,
        /// Its incarnation.
        incarnation: Incarnation,
        /// The number of the renewal that it answers.
        sequence: u64,
        /// The version that it is for.
        version: u64,
        /// How long it lasts from when the renewal was sent.
        ttl: Duration,
    },
    /// No entry serves an earlier version than this, now or ever.
    InForce {
        /// The version.
        version: u64,
    },
}

impl LeaseGranter {
    /// Creates the side of a leader that has just applied the first command of its term.
    ///
    /// `version` is the latest accepted note, and `roster` the entries that may hold a lease of
    /// an earlier leader.
    pub fn new(
        now: Duration,
        timing: LeaseTiming,
        version: u64,
        roster: impl IntoIterator<Item = (EntryId, Incarnation)>,
    ) -> Self {
        Self::with_guards(now, timing, version, roster, Guards::all())
    }

    /// Creates the side of a leader at which only `guards` hold. For checks.
    pub fn with_guards(
        now: Duration,
        timing: LeaseTiming,
        version: u64,
        roster: impl IntoIterator<Item = (EntryId, Incarnation)>,
        guards: Guards,
    ) -> Self {
        let presume = |holder| {
            let leases = Holder {
                acknowledged: 0,
                until: now + timing.upper_bound(),
                removing: false,
                leased: guards.holds(Guard::LeaderWait),
            };
            (holder, leases)
        };
        Self {
            timing,
            guards,
            lead_until: None,
            version,
            in_force: 0,
            holders: roster.into_iter().map(presume).collect(),
        }
    }

    /// The highest version that is known to be in force.
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// The latest accepted version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The latest incarnation of each registered entry.
    pub fn progress(&self, now: Duration) -> impl Iterator<Item = EntryProgress> {
        let latest = self
            .holders
            .iter()
            .filter(|((entry, incarnation), _)| self.latest(*entry) == Some(*incarnation));
        latest.map(move |((entry, _), holder)| EntryProgress {
            entry: *entry,
            acknowledged: holder.acknowledged,
            leased: holder.leased && now < holder.until,
        })
    }

    /// Takes an event at `now`.
    pub fn step(&mut self, now: Duration, event: GranterEvent) -> Vec<GranterAction> {
        let mut next = match event {
            GranterEvent::LeadershipLease { until } => {
                self.lead_until = self.lead_until.max(Some(until));
                Vec::new()
            }
            GranterEvent::Committed { version } => self.commit(version),
            GranterEvent::Registered { entry, incarnation } => {
                self.register(now, entry, incarnation);
                vec![GranterAction::SendConfig { entry, incarnation }]
            }
            GranterEvent::Removed { entry, incarnation } => {
                self.holders.remove(&(entry, incarnation));
                Vec::new()
            }
            GranterEvent::Renew {
                entry,
                incarnation,
                sequence,
                version,
            } => self.renew(now, (entry, incarnation), sequence, version),
            GranterEvent::Tick => self.remove_idle(now),
        };
        next.extend(self.check_in_force(now));
        next
    }

    fn commit(&mut self, version: u64) -> Vec<GranterAction> {
        if version <= self.version {
            return Vec::new();
        }
        self.version = version;
        let holders = self.holders.keys();
        holders
            .map(|(entry, incarnation)| GranterAction::SendConfig {
                entry: *entry,
                incarnation: *incarnation,
            })
            .collect()
    }

    fn register(&mut self, now: Duration, entry: EntryId, incarnation: Incarnation) {
        let until = now + self.timing.upper_bound();
        // Of a holder whose removal is proposed, only the removal itself may change anything.
        self.holders.entry((entry, incarnation)).or_insert(Holder {
            acknowledged: 0,
            until,
            removing: false,
            leased: false,
        });
    }

    fn renew(
        &mut self,
        now: Duration,
        (entry, incarnation): (EntryId, Incarnation),
        sequence: u64,
        version: u64,
    ) -> Vec<GranterAction> {
        if self
            .latest(entry)
            .is_some_and(|latest| incarnation < latest)
        {
            return Vec::new();
        }
        let leads = self.lead_until.is_some_and(|until| now < until)
            || !self.guards.holds(Guard::LeadershipLease);
        let Some(holder) = self.holders.get_mut(&(entry, incarnation)) else {
            return vec![GranterAction::Register { entry, incarnation }];
        };
        if version > self.version {
            return Vec::new();
        }
        holder.acknowledged = holder.acknowledged.max(version);
        if version < self.version {
            return vec![GranterAction::SendConfig { entry, incarnation }];
        }
        if !leads || holder.removing {
            return Vec::new();
        }
        let bound = if self.guards.holds(Guard::ClockMargin) {
            self.timing.upper_bound()
        } else {
            self.timing.lease
        };
        holder.until = holder.until.max(now + bound);
        holder.leased = true;
        let ttl = self.timing.lease;
        vec![GranterAction::Grant {
            entry,
            incarnation,
            sequence,
            version,
            ttl,
        }]
    }

    /// The latest incarnation of an entry that is registered.
    fn latest(&self, entry: EntryId) -> Option<Incarnation> {
        let all = (entry, Incarnation::new(0))..=(entry, Incarnation::new(u64::MAX));
        let (last, _) = self.holders.range(all).next_back()?;
        Some(last.1)
    }

    /// Proposes to remove who holds no lease; again at each tick until it is done.
    fn remove_idle(&mut self, now: Duration) -> Vec<GranterAction> {
        let idle = self
            .holders
            .iter_mut()
            .filter(|(_, holder)| now >= holder.until);
        idle.map(|((entry, incarnation), holder)| {
            holder.removing = true;
            GranterAction::Remove {
                entry: *entry,
                incarnation: *incarnation,
            }
        })
        .collect()
    }

    /// Says which version is in force, if it is a higher one than before.
    fn check_in_force(&mut self, now: Duration) -> Option<GranterAction> {
        let held = |holder: &&Holder| holder.leased && now < holder.until;
        let leased = self.holders.values().filter(held);
        let lowest = leased.map(|holder| holder.acknowledged).min();
        let version = lowest.unwrap_or(self.version);
        if version <= self.in_force {
            return None;
        }
        self.in_force = version;
        Some(GranterAction::InForce { version })
    }
}
