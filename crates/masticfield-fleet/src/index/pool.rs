//! Indexed pools.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::PoolSpec;
use slotmap::new_key_type;

use super::{Host, HostKey};

new_key_type! {
    /// Key of a pool, valid within one index.
    pub struct PoolKey;
}

/// Configuration, members and host counts of a pool.
#[derive(Debug, Clone)]
pub struct Pool<'a> {
    /// Name of the pool.
    pub name: &'a Arc<str>,
    /// Configured specification; `None` once the pool is withdrawn.
    pub spec: Option<&'a PoolSpec>,
    /// Number of hosts that the pool needs to carry its work.
    pub needed: u32,
    /// Number of hosts that the pool should hold, including any reserve kept in it.
    pub target: u32,
    /// Highest availability promised for a service of the pool; 0 without a service.
    pub promised_availability: f64,
    /// Smallest remaining availability budget of a service of the pool.
    ///
    /// [`Duration::MAX`] without a service.
    pub remaining_budget: Duration,
    /// Hosts that carry the work of the pool.
    pub serving: Vec<HostKey>,
    /// Number of hosts that drain in other pools in order to move to this one.
    pub incoming: u32,
    /// Number of hosts that are out for maintenance and expected to return.
    pub in_maintenance: u32,
}

impl<'a> Pool<'a> {
    pub(super) fn new(name: &'a Arc<str>, spec: Option<&'a PoolSpec>) -> Self {
        let needed = spec.map_or(0, |spec| spec.hosts);
        Self {
            name,
            spec,
            needed,
            target: needed,
            promised_availability: 0.0,
            remaining_budget: Duration::MAX,
            serving: Vec::new(),
            incoming: 0,
            in_maintenance: 0,
        }
    }

    /// Whether this is a spare pool, which lends hosts to other pools.
    pub fn is_spare(&self) -> bool {
        self.spec.is_some_and(|spec| spec.spare)
    }

    /// Number of hosts that carry the work of the pool.
    pub fn serving_count(&self) -> u32 {
        u32::try_from(self.serving.len()).unwrap_or(u32::MAX)
    }

    /// Number of hosts that serve, are incoming or return from maintenance.
    pub fn expected_hosts(&self) -> u32 {
        self.serving_count() + self.incoming + self.in_maintenance
    }

    /// Number of serving hosts in excess of the need.
    pub fn surplus(&self) -> u32 {
        self.serving_count().saturating_sub(self.needed)
    }

    /// Whether the pool may own `host`: the pool has no region, or the host is in it.
    pub fn accepts(&self, host: &Host<'_>) -> bool {
        let region = self.spec.and_then(|spec| spec.region.as_deref());
        region.is_none_or(|region| host.spec.is_some_and(|spec| &*spec.region == region))
    }

    /// Counts the serving hosts by availability zone and by rack.
    pub fn spread<'r>(&self, hosts: impl Fn(HostKey) -> &'r Host<'r>) -> Spread<'r> {
        let mut spread = Spread::default();
        for key in &self.serving {
            spread.add(hosts(*key), 1);
        }
        spread
    }
}

/// Number of hosts of a pool in each failure domain.
#[derive(Debug, Clone, Default)]
pub struct Spread<'a> {
    zones: BTreeMap<&'a str, i64>,
    racks: BTreeMap<&'a str, i64>,
}

impl<'a> Spread<'a> {
    /// Adds `count` to the availability zone and the rack of `host`.
    pub fn add(&mut self, host: &'a Host<'a>, count: i64) {
        if let Some((_, zone, rack)) = host.location() {
            *self.zones.entry(zone).or_default() += count;
            *self.racks.entry(rack).or_default() += count;
        }
    }

    /// Number of hosts in the availability zone and in the rack of `host`.
    ///
    /// Both are 0 for a withdrawn host, whose location is unknown.
    pub fn hosts_in_same_domains(&self, host: &Host<'_>) -> (i64, i64) {
        let Some((_, zone, rack)) = host.location() else {
            return (0, 0);
        };
        let zone = self.zones.get(zone).copied().unwrap_or_default();
        let rack = self.racks.get(rack).copied().unwrap_or_default();
        (zone, rack)
    }
}
