//! A plan under construction.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Generation, Planned, Reason};
use slotmap::SecondaryMap;

use super::Guards;
use crate::index::{FleetIndex, Host, HostKey, Pool, PoolKey};
use crate::reserve::ReservePolicy;
use crate::view::FleetView;

/// Maximum number of actions in a plan.
const MAX_ACTIONS: usize = 64;

/// Maximum number of hosts that drain for a move at the same time.
const MAX_CONCURRENT_MOVES: usize = 16;

/// The actions planned so far, and an index that accounts for them.
#[derive(Debug, Clone)]
pub struct Draft<'a> {
    index: FleetIndex<'a>,
    guards: Guards,
    reserve: ReservePolicy,
    planned: Vec<Planned>,
    host_plans: SecondaryMap<HostKey, HostPlan>,
    /// Number of hosts that drain in order to move to another pool.
    moving: usize,
}

/// Kind of action planned for a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HostPlan {
    /// A drain for maintenance.
    Maintenance,
    /// Any other action.
    Other,
}

impl<'a> Draft<'a> {
    /// Creates an empty plan for `view` at `now`.
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
            host_plans: SecondaryMap::new(),
            moving,
        }
    }

    /// Hosts and pools, including the effect of the actions planned so far.
    pub const fn index(&self) -> &FleetIndex<'a> {
        &self.index
    }

    /// The guards that are enabled.
    pub const fn guards(&self) -> Guards {
        self.guards
    }

    /// Which pools hold the reserve.
    pub const fn reserve(&self) -> ReservePolicy {
        self.reserve
    }

    /// The host under `key`.
    ///
    /// # Panics
    ///
    /// Panics if the index holds no host under `key`.
    pub fn host(&self, key: HostKey) -> &Host<'a> {
        self.index.host(key)
    }

    /// The pool under `key`.
    ///
    /// # Panics
    ///
    /// Panics if the index holds no pool under `key`.
    pub fn pool(&self, key: PoolKey) -> &Pool<'a> {
        self.index.pool(key)
    }

    /// Keys of the hosts that have no planned action yet and satisfy `predicate`.
    pub fn unplanned_hosts(&self, predicate: impl Fn(&Host<'a>) -> bool) -> Vec<HostKey> {
        let hosts = self.index.hosts();
        let unplanned =
            hosts.filter(|(key, host)| !self.host_plans.contains_key(*key) && predicate(host));
        unplanned.map(|(key, _)| key).collect()
    }

    /// Whether a host has no planned action yet.
    pub fn is_unplanned(&self, key: HostKey) -> bool {
        !self.host_plans.contains_key(key)
    }

    /// Whether this plan drains a host for maintenance.
    pub fn is_planned_for_maintenance(&self, key: HostKey) -> bool {
        self.host_plans.get(key) == Some(&HostPlan::Maintenance)
    }

    /// Whether another host may start to drain for a move to another pool.
    pub const fn can_move(&self) -> bool {
        self.moving < MAX_CONCURRENT_MOVES && self.has_capacity()
    }

    /// Whether the plan has no actions.
    pub const fn is_empty(&self) -> bool {
        self.planned.is_empty()
    }

    /// Whether the plan can hold another action.
    pub const fn has_capacity(&self) -> bool {
        self.planned.len() < MAX_ACTIONS
    }

    /// Number of hosts that `pool` has or expects.
    ///
    /// Incoming hosts do not count if the guard [`Guards::count_incoming`] is disabled.
    pub fn expected_hosts(&self, pool: PoolKey) -> u32 {
        let pool = self.index.pool(pool);
        if self.guards.count_incoming {
            pool.expected_hosts()
        } else {
            pool.serving_count() + pool.in_maintenance
        }
    }

    /// Plans that the pool `to` owns a free host.
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

    /// Plans the drain of a host.
    ///
    /// If `reason` is a move, the host counts as incoming in its new pool.
    pub fn drain(&mut self, key: HostKey, reason: Reason) {
        let (name, generation, from) = self.identity(key);
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

    /// Plans the release of a drained host from its pool.
    pub fn release(&mut self, key: HostKey, reason: Reason) {
        let (host, generation, _) = self.identity(key);
        self.push(key, Action::Release { host, generation }, reason);
    }

    /// Plans the return of a draining host to service in its pool.
    pub fn resume(&mut self, key: HostKey, reason: Reason) {
        let (host, generation, pool) = self.identity(key);
        let was_in_maintenance = self.host(key).is_in_maintenance();
        if self.push(key, Action::Resume { host, generation }, reason)
            && let Some(pool) = pool
        {
            let pool = self.index.pool_mut(pool);
            pool.serving.push(key);
            pool.in_maintenance -= u32::from(was_in_maintenance && pool.in_maintenance > 0);
        }
    }

    /// Plans the reboot of a drained host.
    pub fn reboot(&mut self, key: HostKey, reason: Reason) {
        let (host, generation, _) = self.identity(key);
        let completed = self.host(key).report.map_or(0, |report| report.reboots);
        let action = Action::Reboot {
            host,
            generation,
            completed,
        };
        self.push(key, action, reason);
    }

    /// Adds an action that does not change the ownership of a host.
    ///
    /// Returns `false`, without adding it, if the plan is full.
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

    /// Name, generation and pool of a host.
    fn identity(&self, key: HostKey) -> (Arc<str>, Generation, Option<PoolKey>) {
        let host = self.host(key);
        (Arc::clone(host.name), host.generation(), host.pool)
    }

    /// Adds an action for a host; returns `false` if the host has one already or the plan is full.
    fn push(&mut self, key: HostKey, action: Action, reason: Reason) -> bool {
        if self.host_plans.contains_key(key) || !self.add(action, reason) {
            return false;
        }
        let in_maintenance = matches!(
            self.planned.last(),
            Some(Planned {
                action: Action::Drain { .. },
                reason: Reason::MaintenanceDue { .. },
            })
        );
        let host_plan = if in_maintenance {
            HostPlan::Maintenance
        } else {
            HostPlan::Other
        };
        self.host_plans.insert(key, host_plan);
        true
    }
}

/// Whether a host drains in order to move to another pool.
fn is_moving(host: &Host<'_>) -> bool {
    matches!(host.drain_reason(), Some(Reason::PoolSurplus { .. }))
}
