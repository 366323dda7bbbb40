//! A plan in the making.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Generation, Planned, Reason};
use slotmap::SecondaryMap;

use super::Guards;
use crate::index::{FleetIndex, Host, HostKey, Pool, PoolKey};
use crate::reserve::ReservePolicy;
use crate::view::FleetView;

/// Actions in a plan, at most.
const MAX_ACTIONS: usize = 64;

/// Hosts that drain for a move at the same time, at most.
const MAX_MOVES_AT_ONCE: usize = 16;

/// The actions planned so far, over the index that counts them in.
#[derive(Debug, Clone)]
pub struct Draft<'a> {
    index: FleetIndex<'a>,
    guards: Guards,
    reserve: ReservePolicy,
    planned: Vec<Planned>,
    taken: SecondaryMap<HostKey, Taken>,
    moving: usize,
}

/// What is planned for a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Taken {
    /// It goes out for maintenance.
    Out,
    /// Something else.
    Other,
}

impl<'a> Draft<'a> {
    /// Creates an empty plan.
    pub fn new(
        view: &FleetView<'a>,
        now: Duration,
        reserve: ReservePolicy,
        guards: Guards,
    ) -> Self {
        let index = FleetIndex::new(view, now, reserve);
        let moving = index.hosts().filter(|(_, host)| is_moving(host)).count();
        Self {
            index,
            guards,
            reserve,
            planned: Vec::new(),
            taken: SecondaryMap::new(),
            moving,
        }
    }

    /// The hosts and pools with what is planned so far.
    pub const fn index(&self) -> &FleetIndex<'a> {
        &self.index
    }

    /// The checks that are on.
    pub const fn guards(&self) -> Guards {
        self.guards
    }

    /// Where the reserve is kept.
    pub const fn reserve(&self) -> ReservePolicy {
        self.reserve
    }

    /// A host.
    pub fn host(&self, key: HostKey) -> &Host<'a> {
        self.index.host(key)
    }

    /// A pool.
    pub fn pool(&self, key: PoolKey) -> &Pool<'a> {
        self.index.pool(key)
    }

    /// Keys of the hosts that nothing is planned for yet and that pass a test.
    pub fn unplanned_hosts(&self, test: impl Fn(&Host<'a>) -> bool) -> Vec<HostKey> {
        let hosts = self.index.hosts();
        let unplanned_hosts =
            hosts.filter(|(key, host)| !self.taken.contains_key(*key) && test(host));
        unplanned_hosts.map(|(key, _)| key).collect()
    }

    /// Whether nothing is planned for a host yet.
    pub fn is_unplanned(&self, key: HostKey) -> bool {
        !self.taken.contains_key(key)
    }

    /// Whether this plan takes a host out for maintenance.
    pub fn is_planned_for_maintenance(&self, key: HostKey) -> bool {
        self.taken.get(key) == Some(&Taken::Out)
    }

    /// Whether another host may drain to move.
    pub const fn can_move(&self) -> bool {
        self.moving < MAX_MOVES_AT_ONCE && self.has_capacity()
    }

    /// Whether nothing is planned yet.
    pub const fn is_empty(&self) -> bool {
        self.planned.is_empty()
    }

    /// Whether another action fits into the plan.
    pub const fn has_capacity(&self) -> bool {
        self.planned.len() < MAX_ACTIONS
    }

    /// Hosts that `pool` has or expects.
    pub fn expected_hosts(&self, pool: PoolKey) -> u32 {
        let pool = self.index.pool(pool);
        if self.guards.count_incoming {
            pool.expected_hosts()
        } else {
            pool.serving_count() + pool.in_maintenance
        }
    }

    /// Gives a free host to a pool.
    pub fn own(&mut self, key: HostKey, to: PoolKey, reason: Reason) {
        let host = self.host(key);
        let action = Action::Own {
            host: Arc::clone(host.name),
            pool: Arc::clone(self.pool(to).name),
            generation: host.generation().next(),
        };
        if self.push(key, action, reason) {
            self.index.pool_mut(to).serving.push(key);
        }
    }

    /// Drains a host; a move to another pool counts for that pool.
    pub fn drain(&mut self, key: HostKey, reason: Reason) {
        let (name, generation, from) = self.named(key);
        let to = match &reason {
            Reason::PoolSurplus { to, .. } => self.index.pool_key(to),
            _ => None,
        };
        let in_maintenance = matches!(reason, Reason::MaintenanceDue { .. });
        let action = Action::Drain {
            host: name,
            generation,
        };
        if !self.push(key, action, reason) {
            return;
        }
        if let Some(from) = from {
            let pool = self.index.pool_mut(from);
            pool.serving.retain(|serving| *serving != key);
            pool.in_maintenance += u32::from(in_maintenance);
        }
        if let Some(to) = to {
            self.index.pool_mut(to).incoming += 1;
            self.moving += 1;
        }
    }

    /// Takes a drained host out of its pool.
    pub fn release(&mut self, key: HostKey, reason: Reason) {
        let (host, generation, _) = self.named(key);
        self.push(key, Action::Release { host, generation }, reason);
    }

    /// Returns a draining host to its pool.
    pub fn resume(&mut self, key: HostKey, reason: Reason) {
        let (host, generation, pool) = self.named(key);
        let was_out = self.host(key).is_in_maintenance();
        if self.push(key, Action::Resume { host, generation }, reason)
            && let Some(pool) = pool
        {
            let pool = self.index.pool_mut(pool);
            pool.serving.push(key);
            pool.in_maintenance -= u32::from(was_out && pool.in_maintenance > 0);
        }
    }

    /// Reboots a drained host.
    pub fn reboot(&mut self, key: HostKey, reason: Reason) {
        let (host, generation, _) = self.named(key);
        let completed = self.host(key).report.map_or(0, |seen| seen.reboots);
        let action = Action::Reboot {
            host,
            generation,
            completed,
        };
        self.push(key, action, reason);
    }

    /// Adds an action that concerns no host's ownership.
    pub fn add(&mut self, action: Action, reason: Reason) -> bool {
        if !self.has_capacity() {
            return false;
        }
        self.planned.push(Planned { action, reason });
        true
    }

    /// The actions, in the order in which they were planned.
    pub fn into_planned(self) -> Vec<Planned> {
        self.planned
    }

    fn named(&self, key: HostKey) -> (Arc<str>, Generation, Option<PoolKey>) {
        let host = self.host(key);
        (Arc::clone(host.name), host.generation(), host.pool)
    }

    fn push(&mut self, key: HostKey, action: Action, reason: Reason) -> bool {
        if self.taken.contains_key(key) || !self.add(action, reason) {
            return false;
        }
        let out = matches!(
            self.planned.last(),
            Some(Planned {
                action: Action::Drain { .. },
                reason: Reason::MaintenanceDue { .. },
            })
        );
        let taken = if out { Taken::Out } else { Taken::Other };
        self.taken.insert(key, taken);
        true
    }
}

fn is_moving(host: &Host<'_>) -> bool {
    matches!(host.drain_reason(), Some(Reason::PoolSurplus { .. }))
}
