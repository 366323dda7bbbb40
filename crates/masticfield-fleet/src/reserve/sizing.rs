//! Reserve policies and sizes.

use std::collections::BTreeMap;

use crate::index::{FleetIndex, Host, HostKey, Pool, PoolKey};

/// Which pools hold the reserve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReservePolicy {
    /// The spare pool holds one reserve for all pools of its region.
    #[default]
    Shared,
    /// Each pool holds its own reserve and lends none of it.
    PerPool,
}

/// Simultaneous host losses that a reserve covers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReserveSize {
    /// Number of hosts in the largest rack that carry work of non-spare pools.
    pub rack: u32,
    /// Number of hosts that maintenance takes out of service at the same time.
    pub batch: u32,
}

impl ReserveSize {
    /// Total number of hosts in the reserve.
    pub const fn hosts(self) -> u32 {
        self.rack + self.batch
    }
}

/// Size of the reserve that the pools of `region` share; of all pools if `None`.
pub fn shared_reserve(index: &FleetIndex<'_>, region: Option<&str>) -> ReserveSize {
    let needs_cover = |host: &Host<'_>| {
        let pool = host.pool.map(|pool| index.pool(pool));
        let is_spare = pool.is_some_and(Pool::is_spare);
        let in_region = region
            .is_none_or(|region| host.location().is_some_and(|location| location.0 == region));
        in_region && !is_spare
    };
    let serving = index
        .pools()
        .flat_map(|(_, pool)| pool.serving.iter().copied());
    ReserveSize {
        rack: largest_rack(index, serving, needs_cover),
        batch: largest_batch(index),
    }
}

/// Number of hosts that a pool should hold, including any reserve kept in it.
pub fn target_hosts(index: &FleetIndex<'_>, key: PoolKey, policy: ReservePolicy) -> u32 {
    let pool = index.pool(key);
    match policy {
        ReservePolicy::Shared if pool.is_spare() => {
            let region = pool.spec.and_then(|spec| spec.region.as_deref());
            pool.needed.max(shared_reserve(index, region).hosts())
        }
        ReservePolicy::PerPool if pool.spec.is_some() && !pool.is_spare() => {
            let rack = largest_rack(index, pool.serving.iter().copied(), |_| true);
            pool.needed + rack + largest_batch(index).min(pool.needed)
        }
        _ => pool.needed,
    }
}

/// Number of hosts held in reserve: those of spare pools and the surplus of other pools.
///
/// Free hosts do not count because they may be given back to the platform.
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

/// Number of hosts that the reserve policy requests in excess of the need of non-spare pools.
pub fn requested_hosts(index: &FleetIndex<'_>) -> u32 {
    let pools = index.pools().map(|(_, pool)| pool);
    let requested = pools.map(|pool| {
        let needed = if pool.is_spare() { 0 } else { pool.needed };
        pool.target.saturating_sub(needed)
    });
    requested.sum()
}

/// Largest batch of any maintenance programme; programmes share one limit.
fn largest_batch(index: &FleetIndex<'_>) -> u32 {
    let programmes = index.view().config.maintenance().values();
    programmes
        .map(|programme| programme.batch)
        .max()
        .unwrap_or(0)
}

/// Number of counted hosts in the rack that has the most of them.
fn largest_rack(
    index: &FleetIndex<'_>,
    serving: impl Iterator<Item = HostKey>,
    is_counted: impl Fn(&Host<'_>) -> bool,
) -> u32 {
    let mut racks = BTreeMap::<_, u32>::new();
    for key in serving {
        let host = index.host(key);
        if is_counted(host)
            && let Some((_, zone, rack)) = host.location()
        {
            *racks.entry((zone, rack)).or_default() += 1;
        }
    }
    racks.into_values().max().unwrap_or(0)
}
