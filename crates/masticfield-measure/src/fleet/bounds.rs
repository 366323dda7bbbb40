//! Lower bounds that hold for every policy, calculated without the planner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use masticfield_core::config::FleetConfig;
use masticfield_core::fleet::Ownership;
use masticfield_fleet::view::HostRecords;

/// Minimum number of buffer hosts that cover the loss of a rack during a maintenance batch.
///
/// However the hosts of the pools are placed, some rack holds at least their average per rack.
pub(super) fn min_buffer(config: &FleetConfig) -> u32 {
    let racks: BTreeSet<_> = config
        .hosts()
        .values()
        .map(|host| (&host.zone, &host.rack))
        .collect();
    let racks = u32::try_from(racks.len()).unwrap_or(u32::MAX).max(1);
    let needed: u32 = config
        .pools()
        .values()
        .filter(|pool| !pool.spare)
        .map(|pool| pool.hosts)
        .sum();
    let spare: u32 = config
        .pools()
        .values()
        .filter(|pool| pool.spare)
        .map(|pool| pool.hosts)
        .sum();
    let batch = config
        .maintenance()
        .values()
        .map(|programme| programme.batch)
        .max()
        .unwrap_or(0);
    spare.max(needed.div_ceil(racks) + batch)
}

/// Minimum number of host moves after hosts are lost.
#[derive(Debug, Clone, Copy)]
pub(super) struct LossMoves {
    /// Moves that replace lost hosts.
    pub(super) replaced: usize,
    /// Moves that refill the spare pool once the lost hosts are back.
    pub(super) refilled: usize,
}

/// Calculates the minimum number of host moves after the loss of `lost`.
pub(super) fn min_moves_after_loss(
    config: &FleetConfig,
    hosts: &HostRecords,
    lost: &[Arc<str>],
) -> LossMoves {
    let counts = HostCounts::new(config, hosts, lost);
    let mut missing = 0;
    let mut surplus = 0;
    for pool in config.pools().values().filter(|pool| !pool.spare) {
        let owned = counts.owned.get(&pool.name).copied().unwrap_or(0);
        let needed = pool.hosts as usize;
        missing += needed.saturating_sub(owned);
        surplus += owned.saturating_sub(needed);
    }
    let spare = config.pools().values().find(|pool| pool.spare);
    let Some(spare) = spare else {
        return LossMoves {
            replaced: missing,
            refilled: 0,
        };
    };
    let owned = counts.owned.get(&spare.name).copied().unwrap_or(0);
    let borrowed = missing.saturating_sub(counts.free + surplus).min(owned);
    LossMoves {
        replaced: missing.min(counts.free + surplus + owned),
        refilled: (spare.hosts as usize).saturating_sub(owned - borrowed),
    }
}

/// Minimum number of hosts that cover for hosts under maintenance.
///
/// A pool needs at least one if its availability budget is smaller than the outage of a
/// maintenance wave over its hosts, one batch at a time.
pub(super) fn min_cover_hosts(config: &FleetConfig) -> usize {
    let Some(programme) = config.maintenance().values().next() else {
        return 0;
    };
    let pools = config.pools().values().filter(|pool| {
        let outage = programme.expected_outage * pool.hosts.div_ceil(programme.batch.max(1));
        let mut services = config
            .services()
            .values()
            .filter(|service| service.pool == pool.name);
        services.any(|service| service.promise.budget() < outage)
    });
    pools.filter(|pool| !pool.spare).count()
}

/// Hosts that remain after a loss: owned per pool, and free.
struct HostCounts {
    owned: BTreeMap<Arc<str>, usize>,
    free: usize,
}

impl HostCounts {
    fn new(config: &FleetConfig, hosts: &HostRecords, lost: &[Arc<str>]) -> Self {
        let mut owned = BTreeMap::new();
        let mut free = 0;
        for host in config.hosts().keys().filter(|host| !lost.contains(host)) {
            match hosts.get(host).map(|record| &record.ownership) {
                Some(Ownership::Owned { pool, .. }) => {
                    *owned.entry(Arc::clone(pool)).or_default() += 1;
                }
                None | Some(Ownership::Released { .. }) => free += 1,
                Some(Ownership::Draining { .. }) => {}
            }
        }
        Self { owned, free }
    }
}
