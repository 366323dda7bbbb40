//! The leader's side of configuration leases.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};

use super::LeaseTiming;
use crate::{Guard, Guards};

/// Grants configuration leases, and tracks the leases that earlier leaders may have granted.
///
/// A leader creates a granter once it has applied the first command of its own term, and drops
/// it when its leadership ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseGranter {
    timing: LeaseTiming,
    guards: Guards,
    /// Expiry of the leadership lease; `None` before the first.
    leadership_until: Option<Duration>,
    /// The latest committed version.
    version: u64,
    /// The highest version known to be in force; 0 if none is.
    in_force: u64,
    holders: BTreeMap<(EntryId, Incarnation), HolderState>,
}

/// What the leader knows about an incarnation of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HolderState {
    /// The version that the entry acknowledged; it never serves an earlier one.
    acknowledged: u64,
    /// Upper bound for the expiry of the last lease.
    expires_by: Duration,
    /// Whether the removal is proposed; no lease is granted until it is committed.
    removing: bool,
    /// Whether `expires_by` bounds a lease, and not only the registration.
    leased: bool,
}

/// Progress of an entry towards the latest configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EntryProgress {
    /// The entry.
    pub entry: EntryId,
    /// The version that the entry has acknowledged; 0 before the first.
    pub acknowledged: u64,
    /// Whether the entry may hold a lease.
    pub leased: bool,
}

/// An input of the [`LeaseGranter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GranterEvent {
    /// The leadership lease was extended: no other replica can lead until it expires.
    LeadershipLease {
        /// Expiry of the leadership lease.
        until: Duration,
    },
    /// A release note was committed.
    Committed {
        /// The version of the resulting configuration.
        version: u64,
    },
    /// The registration of an incarnation of an entry was committed.
    Registered {
        /// The entry.
        entry: EntryId,
        /// The registered incarnation.
        incarnation: Incarnation,
    },
    /// The removal of an incarnation of an entry was committed.
    Removed {
        /// The entry.
        entry: EntryId,
        /// The removed incarnation.
        incarnation: Incarnation,
    },
    /// An entry requests a lease.
    Renew {
        /// The entry.
        entry: EntryId,
        /// The incarnation that requests the lease.
        incarnation: Incarnation,
        /// Number of the renewal, which the grant repeats.
        sequence: u64,
        /// The latest version that the entry has received.
        version: u64,
    },
    /// Time has passed.
    Tick,
}

/// An output of the [`LeaseGranter`], to be carried out by the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum GranterAction {
    /// Propose the registration of an incarnation.
    Register {
        /// The entry.
        entry: EntryId,
        /// The incarnation to register.
        incarnation: Incarnation,
    },
    /// Propose the removal of an incarnation whose leases have all expired.
    Remove {
        /// The entry.
        entry: EntryId,
        /// The incarnation to remove.
        incarnation: Incarnation,
    },
    /// Send the latest configuration to an incarnation, if it is connected.
    SendConfig {
        /// The entry.
        entry: EntryId,
        /// The incarnation to send to.
        incarnation: Incarnation,
    },
    /// Send a lease to an incarnation, and to no other one.
    Grant {
        /// The entry.
        entry: EntryId,
        /// The incarnation that requested the lease.
        incarnation: Incarnation,
        /// Number of the renewal that is granted.
        sequence: u64,
        /// The version that the lease is for.
        version: u64,
        /// Duration of the lease, counted from the sending of the renewal.
        ttl: Duration,
    },
    /// Record that no entry serves, or will ever serve, an earlier version.
    InForce {
        /// The version that is in force.
        version: u64,
    },
}

impl LeaseGranter {
    /// Creates the granter of a leader that has just applied the first command of its term.
    ///
    /// `version` is the number of the latest accepted note. `roster` contains the incarnations
    /// that may hold a lease granted by an earlier leader.
    pub fn new(
        now: Duration,
        timing: LeaseTiming,
        version: u64,
        roster: impl IntoIterator<Item = (EntryId, Incarnation)>,
    ) -> Self {
        Self::with_guards(now, timing, version, roster, Guards::all())
    }

    /// Creates a granter with a subset of the safety rules; for tests only.
    pub fn with_guards(
        now: Duration,
        timing: LeaseTiming,
        version: u64,
        roster: impl IntoIterator<Item = (EntryId, Incarnation)>,
        guards: Guards,
    ) -> Self {
        let assume_leased = |incarnation| {
            let state = HolderState {
                acknowledged: 0,
                expires_by: now + timing.upper_bound(),
                removing: false,
                leased: guards.holds(Guard::LeaderWait),
            };
            (incarnation, state)
        };
        Self {
            timing,
            guards,
            leadership_until: None,
            version,
            in_force: 0,
            holders: roster.into_iter().map(assume_leased).collect(),
        }
    }

    /// The highest version known to be in force; 0 if none is.
    pub const fn in_force(&self) -> u64 {
        self.in_force
    }

    /// The latest committed version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Progress of the latest incarnation of each registered entry at `now`.
    pub fn progress(&self, now: Duration) -> impl Iterator<Item = EntryProgress> {
        let latest = self
            .holders
            .iter()
            .filter(|((entry, incarnation), _)| self.latest(*entry) == Some(*incarnation));
        latest.map(move |((entry, _), holder)| EntryProgress {
            entry: *entry,
            acknowledged: holder.acknowledged,
            leased: holder.leased && now < holder.expires_by,
        })
    }

    /// Handles an event at `now` and returns the actions to carry out.
    pub fn step(&mut self, now: Duration, event: GranterEvent) -> Vec<GranterAction> {
        let mut actions = match event {
            GranterEvent::LeadershipLease { until } => {
                self.leadership_until = self.leadership_until.max(Some(until));
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
            GranterEvent::Tick => self.propose_removals(now),
        };
        actions.extend(self.advance_in_force(now));
        actions
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
        let expires_by = now + self.timing.upper_bound();
        // An existing holder is left unchanged, since its removal may already be proposed.
        self.holders
            .entry((entry, incarnation))
            .or_insert(HolderState {
                acknowledged: 0,
                expires_by,
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
        let is_leader = self.leadership_until.is_some_and(|until| now < until)
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
        if !is_leader || holder.removing {
            return Vec::new();
        }
        let bound = if self.guards.holds(Guard::ClockMargin) {
            self.timing.upper_bound()
        } else {
            self.timing.lease
        };
        holder.expires_by = holder.expires_by.max(now + bound);
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

    /// The latest registered incarnation of an entry.
    fn latest(&self, entry: EntryId) -> Option<Incarnation> {
        let all = (entry, Incarnation::new(0))..=(entry, Incarnation::new(u64::MAX));
        let (last, _) = self.holders.range(all).next_back()?;
        Some(last.1)
    }

    /// Proposes to remove every holder without a lease, at each tick until it is removed.
    fn propose_removals(&mut self, now: Duration) -> Vec<GranterAction> {
        let expired = self
            .holders
            .iter_mut()
            .filter(|(_, holder)| now >= holder.expires_by);
        expired
            .map(|((entry, incarnation), holder)| {
                holder.removing = true;
                GranterAction::Remove {
                    entry: *entry,
                    incarnation: *incarnation,
                }
            })
            .collect()
    }

    /// Returns the version in force if it is higher than before.
    fn advance_in_force(&mut self, now: Duration) -> Option<GranterAction> {
        let is_leased = |holder: &&HolderState| holder.leased && now < holder.expires_by;
        let leased = self.holders.values().filter(is_leased);
        let lowest = leased.map(|holder| holder.acknowledged).min();
        let version = lowest.unwrap_or(self.version);
        if version <= self.in_force {
            return None;
        }
        self.in_force = version;
        Some(GranterAction::InForce { version })
    }
}
