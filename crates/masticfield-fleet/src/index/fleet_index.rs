//! Index of hosts and pools.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Reason;
use slotmap::SlotMap;

use super::{Host, HostKey, OwnershipPhase, Pool, PoolKey};
use crate::reserve;
use crate::reserve::ReservePolicy;
use crate::view::FleetView;

/// Hosts and pools of a [`FleetView`] at one point in time.
#[derive(Debug, Clone)]
pub struct FleetIndex<'a> {
    view: FleetView<'a>,
    now: Duration,
    hosts: SlotMap<HostKey, Host<'a>>,
    pools: SlotMap<PoolKey, Pool<'a>>,
    host_keys: BTreeMap<&'a str, HostKey>,
    pool_keys: BTreeMap<&'a str, PoolKey>,
}

impl<'a> FleetIndex<'a> {
    /// Builds the index of `view` at `now`, with pool targets that follow `policy`.
    pub fn new(view: &FleetView<'a>, now: Duration, policy: ReservePolicy) -> Self {
        let mut index = Self {
            view: *view,
            now,
            hosts: SlotMap::with_key(),
            pools: SlotMap::with_key(),
            host_keys: BTreeMap::new(),
            pool_keys: BTreeMap::new(),
        };
        index.add_pools();
        index.add_hosts();
        index.count_hosts();
        index.set_availability();
        index.set_targets(policy);
        index
    }

    /// The view from which the index was built.
    pub const fn view(&self) -> &FleetView<'a> {
        &self.view
    }

    /// The time for which the index was built, since the Unix epoch.
    pub const fn now(&self) -> Duration {
        self.now
    }

    /// Iterates over the hosts in the order of their names.
    pub fn hosts(&self) -> impl Iterator<Item = (HostKey, &Host<'a>)> {
        self.host_keys.values().map(|key| (*key, &self.hosts[*key]))
    }

    /// Iterates over the pools in the order of their names.
    pub fn pools(&self) -> impl Iterator<Item = (PoolKey, &Pool<'a>)> {
        self.pool_keys.values().map(|key| (*key, &self.pools[*key]))
    }

    /// The host under `key`.
    ///
    /// # Panics
    ///
    /// Panics if the index holds no host under `key`.
    pub fn host(&self, key: HostKey) -> &Host<'a> {
        &self.hosts[key]
    }

    /// The pool under `key`.
    ///
    /// # Panics
    ///
    /// Panics if the index holds no pool under `key`.
    pub fn pool(&self, key: PoolKey) -> &Pool<'a> {
        &self.pools[key]
    }

    /// The pool under `key`, for counting a planned action.
    ///
    /// # Panics
    ///
    /// Panics if the index holds no pool under `key`.
    pub fn pool_mut(&mut self, key: PoolKey) -> &mut Pool<'a> {
        &mut self.pools[key]
    }

    /// The key of a host that is configured or recorded.
    pub fn host_key(&self, name: &str) -> Option<HostKey> {
        self.host_keys.get(name).copied()
    }

    /// The key of a pool that is configured or owns a host.
    pub fn pool_key(&self, name: &str) -> Option<PoolKey> {
        self.pool_keys.get(name).copied()
    }

    /// Keys of the pools in the order in which their shortages are repaired.
    ///
    /// Pools with the highest promised availability come first, then those with the smallest
    /// remaining budget; spare pools come last.
    pub fn by_repair_priority(&self) -> Vec<PoolKey> {
        let mut keys: Vec<_> = self.pools().map(|(key, _)| key).collect();
        keys.sort_by(|a, b| {
            let (a, b) = (&self.pools[*a], &self.pools[*b]);
            let spare = a.is_spare().cmp(&b.is_spare());
            let availability = b.promised_availability.total_cmp(&a.promised_availability);
            spare
                .then(availability)
                .then(a.remaining_budget.cmp(&b.remaining_budget))
                .then(a.name.cmp(b.name))
        });
        keys
    }

    fn add_pools(&mut self) {
        let view = self.view;
        for (name, spec) in view.config.pools() {
            let key = self.pools.insert(Pool::new(name, Some(spec)));
            self.pool_keys.insert(name, key);
        }
        for (_, record) in view.hosts.iter() {
            let Some(name) = record.ownership.pool() else {
                continue;
            };
            if !self.pool_keys.contains_key(&**name) {
                let key = self.pools.insert(Pool::new(name, None));
                self.pool_keys.insert(name, key);
            }
        }
    }

    fn add_hosts(&mut self) {
        let view = self.view;
        for (name, spec) in view.config.hosts() {
            self.add_host(
                name,
                Host {
                    spec: Some(spec),
                    ..unrecorded_host(name)
                },
            );
        }
        for (name, record) in view.hosts.iter() {
            let key = match self.host_keys.get(&**name) {
                Some(key) => *key,
                None => self.add_host(name, unrecorded_host(name)),
            };
            let pool = record.ownership.pool();
            let pool = pool.and_then(|pool| self.pool_keys.get(&**pool).copied());
            let host = &mut self.hosts[key];
            host.record = Some(record);
            host.pool = pool;
        }
        for report in &view.observation.hosts {
            if let Some(key) = self.host_keys.get(&*report.host) {
                self.hosts[*key].report = Some(report);
            }
        }
    }

    fn add_host(&mut self, name: &'a Arc<str>, host: Host<'a>) -> HostKey {
        let key = self.hosts.insert(host);
        self.host_keys.insert(name, key);
        key
    }

    /// Counts the serving, incoming and maintained hosts of each pool.
    fn count_hosts(&mut self) {
        for key in self.host_keys.values() {
            let host = &self.hosts[*key];
            if let Some(Reason::PoolSurplus { to, .. }) = host.drain_reason()
                && host.ownership_phase() == OwnershipPhase::Draining
                && !host.is_failed()
                && let Some(to) = self.pool_keys.get(&**to)
            {
                self.pools[*to].incoming += 1;
            }
            let Some(pool) = host.pool else {
                continue;
            };
            if host.is_serving() {
                self.pools[pool].serving.push(*key);
            } else if host.is_in_maintenance() && !self.is_reboot_overdue(host) {
                self.pools[pool].in_maintenance += 1;
            }
        }
    }

    /// Sets the strictest promise and budget of the services that each pool runs.
    fn set_availability(&mut self) {
        let view = self.view;
        for service in view.config.services().values() {
            let Some(key) = self.pool_keys.get(&*service.pool) else {
                continue;
            };
            let budget = view.budgets.get(&service.name).copied();
            let budget = budget.unwrap_or_else(|| service.promise.budget());
            let pool = &mut self.pools[*key];
            pool.promised_availability =
                pool.promised_availability.max(service.promise.availability);
            pool.remaining_budget = pool.remaining_budget.min(budget);
        }
    }

    fn set_targets(&mut self, policy: ReservePolicy) {
        let targets: Vec<_> = self
            .pools()
            .map(|(key, _)| (key, reserve::target_hosts(self, key, policy)))
            .collect();
        for (key, target) in targets {
            self.pools[key].target = target;
        }
    }

    /// Whether an ordered reboot has taken several times the expected outage.
    ///
    /// Such a host counts as failed: it is released and not expected back.
    pub fn is_reboot_overdue(&self, host: &Host<'_>) -> bool {
        let Some(order) = host.record.and_then(|record| record.reboot) else {
            return false;
        };
        let outage = match host.drain_reason() {
            Some(Reason::MaintenanceDue { programme }) => {
                let programme = self.view.config.maintenance().get(programme);
                programme.map_or(DEFAULT_OUTAGE, |programme| programme.expected_outage)
            }
            _ => DEFAULT_OUTAGE,
        };
        let returned = host
            .report
            .is_some_and(|report| report.reboots > order.completed && host.is_healthy());
        !returned && self.now > order.ordered_at + outage * OVERDUE_FACTOR
    }
}

/// Expected outage of a reboot whose maintenance programme is no longer configured.
const DEFAULT_OUTAGE: Duration = Duration::from_mins(10);

/// Multiple of the expected outage after which a rebooting host counts as failed.
const OVERDUE_FACTOR: u32 = 3;

const fn unrecorded_host(name: &Arc<str>) -> Host<'_> {
    Host {
        name,
        spec: None,
        record: None,
        report: None,
        pool: None,
    }
}
