//! Size of the reserve.

use std::collections::BTreeMap;

use crate::index::{FleetIndex, Host, HostKey, Pool, PoolKey};

/// Where the reserve is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReservePolicy {
    /// One reserve for all pools of a region, in the spare pool.
    #[default]
    Shared,
    /// A reserve in each pool; nothing is lent.
    PerPool,
}

/// The hosts that a reserve makes up for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReserveSize {
    /// Hosts of the largest rack that carry work which must go on.
    pub rack: u32,
    /// Hosts that are out for maintenance at the same time without cover from a budget.
    pub batch: u32,
}

impl ReserveSize {
    /// Hosts of the reserve.
    pub const fn hosts(self) -> u32 {
        self.rack + self.batch
    }
}

/// Size of the reserve that all pools of a region share.
pub fn shared_reserve(index: &FleetIndex<'_>, region: Option<&str>) -> ReserveSize {
    let carries = |host: &Host<'_>| {
        let pool = host.pool.map(|pool| index.pool(pool));
        let lends = pool.is_some_and(Pool::is_spare);
        let inside = region.is_none_or(|region| host.location().is_some_and(|at| at.0 == region));
        inside && !lends
    };
    let serving = index
        .pools()
        .flat_map(|(_, pool)| pool.serving.iter().copied());
    ReserveSize {
        rack: largest_rack(index, serving, carries),
        batch: batch(index),
    }
}

/// Hosts that a pool is to hold, with the reserve that is kept in it.
pub fn target_hosts(index: &FleetIndex<'_>, key: PoolKey, policy: ReservePolicy) -> u32 {
    let pool = index.pool(key);
    match policy {
        ReservePolicy::Shared if pool.is_spare() => {
            let region = pool.spec.and_then(|spec| spec.region.as_deref());
            pool.needed.max(shared_reserve(index, region).hosts())
        }
        ReservePolicy::PerPool if pool.spec.is_some() && !pool.is_spare() => {
            let rack = largest_rack(index, pool.serving.iter().copied(), |_| true);
            pool.needed + rack + batch(index).min(pool.needed)
        }
        _ => pool.needed,
    }
}

/// Hosts held in reserve: those of spare pools, and those that other pools hold beyond need.
///
/// Free hosts are not held: their owner may give them back.
pub fn buffer_hosts(index: &FleetIndex<'_>) -> u32 {
    let pools = index.pools().map(|(_, pool)| pool);
    let held = pools.map(|pool| {
        if pool.is_spare() {
            pool.serving_count()
        } else {
            pool.surplus()
        }
    });
    held.sum()
}

/// Hosts that the policy asks for beyond the need of pools other than spare ones.
pub fn requested_hosts(index: &FleetIndex<'_>) -> u32 {
    let pools = index.pools().map(|(_, pool)| pool);
    let asked = pools.map(|pool| {
        let needed = if pool.is_spare() { 0 } else { pool.needed };
        pool.target.saturating_sub(needed)
    });
    asked.sum()
}

/// Hosts that programmes take out at the same time, at most.
fn batch(index: &FleetIndex<'_>) -> u32 {
    let programmes = index.view().config.maintenance().values();
    programmes
        .map(|programme| programme.batch)
        .max()
        .unwrap_or(0)
}

fn largest_rack(
    index: &FleetIndex<'_>,
    serving: impl Iterator<Item = HostKey>,
    counts: impl Fn(&Host<'_>) -> bool,
) -> u32 {
    let mut racks = BTreeMap::<_, u32>::new();
    for key in serving {
        let host = index.host(key);
        if counts(host)
            && let Some((_, zone, rack)) = host.location()
        {
            *racks.entry((zone, rack)).or_default() += 1;
        }
    }
    racks.into_values().max().unwrap_or(0)
}
