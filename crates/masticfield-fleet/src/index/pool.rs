//! A pool as the planner sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::note::PoolSpec;
use slotmap::new_key_type;

use super::{Host, HostKey};

new_key_type! {
    /// Key of a pool within an index.
    pub struct PoolKey;
}

/// A pool with its members and counts.
#[derive(Debug, Clone)]
pub struct Pool<'a> {
    /// Its name.
    pub name: &'a Arc<str>,
    /// Its declaration; none once it is withdrawn.
    pub spec: Option<&'a PoolSpec>,
    /// Hosts that it needs to carry its work.
    pub needed: u32,
    /// Hosts that it is to hold, with the reserve that is kept in it.
    pub target: u32,
    /// Highest availability promised for a service that it runs.
    pub promised_availability: f64,
    /// Smallest availability budget left of a service that it runs.
    pub remaining_budget: Duration,
    /// Hosts that carry its work.
    pub serving: Vec<HostKey>,
    /// Hosts that drain in other pools to come to this one.
    pub incoming: u32,
    /// Hosts that are out for maintenance and come back.
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

    /// Whether the pool lends its hosts.
    pub fn is_spare(&self) -> bool {
        self.spec.is_some_and(|spec| spec.spare)
    }

    /// Number of hosts that carry its work.
    pub fn serving_count(&self) -> u32 {
        u32::try_from(self.serving.len()).unwrap_or(u32::MAX)
    }

    /// Hosts that it has, expects, or gets back from maintenance.
    pub fn expected_hosts(&self) -> u32 {
        self.serving_count() + self.incoming + self.in_maintenance
    }

    /// Hosts that carry its work beyond those that it needs.
    pub fn surplus(&self) -> u32 {
        self.serving_count().saturating_sub(self.needed)
    }

    /// Whether a host may belong to the pool by its region.
    pub fn accepts(&self, host: &Host<'_>) -> bool {
        let home = self.spec.and_then(|spec| spec.region.as_deref());
        home.is_none_or(|home| host.spec.is_some_and(|spec| &*spec.region == home))
    }

    /// Serving hosts in each availability zone and in each rack.
    pub fn spread<'r>(&self, hosts: impl Fn(HostKey) -> &'r Host<'r>) -> Spread<'r> {
        let mut spread = Spread::default();
        for key in &self.serving {
            spread.add(hosts(*key), 1);
        }
        spread
    }
}

/// How many hosts of a pool each failure domain holds.
#[derive(Debug, Clone, Default)]
pub struct Spread<'a> {
    zones: BTreeMap<&'a str, i64>,
    racks: BTreeMap<&'a str, i64>,
}

impl<'a> Spread<'a> {
    /// Adds `count` hosts at the place of `host`.
    pub fn add(&mut self, host: &'a Host<'a>, count: i64) {
        if let Some((_, zone, rack)) = host.location() {
            *self.zones.entry(zone).or_default() += count;
            *self.racks.entry(rack).or_default() += count;
        }
    }

    /// Hosts in the availability zone and in the rack of `host`.
    pub fn hosts_in_same_domains(&self, host: &Host<'_>) -> (i64, i64) {
        let Some((_, zone, rack)) = host.location() else {
            return (0, 0);
        };
        let zone = self.zones.get(zone).copied().unwrap_or_default();
        let rack = self.racks.get(rack).copied().unwrap_or_default();
        (zone, rack)
    }
}
