//! Repairs shortages of pools with as few moves as possible.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Reason;

use super::Draft;
use crate::index::{Host, HostKey, PoolKey};

/// Availability budget that a lending pool keeps for its own failures.
const MIN_DONOR_BUDGET: Duration = Duration::from_mins(10);

/// Repairs the shortages of pools, highest promised availability first.
///
/// Each missing host is replaced by a free host, by the surplus of another pool, or by a loan
/// from a spare pool, in this order.
pub fn repair(draft: &mut Draft<'_>) {
    for pool in draft.index().by_repair_priority() {
        while draft.expected_hosts(pool) < draft.pool(pool).needed {
            if !repair_one(draft, pool) {
                break;
            }
        }
    }
}

/// Fills pools up to their targets, reserve included, with free hosts only.
pub fn fill_reserve(draft: &mut Draft<'_>) {
    for pool in draft.index().by_repair_priority() {
        while draft.expected_hosts(pool) < draft.pool(pool).target && draft.has_capacity() {
            let Some(host) = best_free(draft, pool) else {
                break;
            };
            let reason = shortage_reason(draft, pool);
            draft.own(host, pool, reason);
        }
    }
}

/// The free host that spreads a pool best over failure domains.
pub fn best_free(draft: &Draft<'_>, pool: PoolKey) -> Option<HostKey> {
    let free = draft.unplanned_hosts(|host| host.is_free() && draft.pool(pool).accepts(host));
    best_spread(draft, pool, free)
}

/// Drains a surplus host of another pool for `pool`; returns `false` if there is none.
pub fn take_surplus(draft: &mut Draft<'_>, pool: PoolKey) -> bool {
    take_surplus_of(draft, pool, |_| true)
}

/// Drains a surplus host of a donor pool that satisfies `predicate`.
///
/// Returns `false` if there is none. Of several candidates, the one that spreads `pool` best is
/// chosen.
pub fn take_surplus_of(
    draft: &mut Draft<'_>,
    pool: PoolKey,
    predicate: impl Fn(PoolKey) -> bool,
) -> bool {
    let donors = donors(draft, pool, |draft, donor| {
        draft.pool(donor).surplus() > 0 && predicate(donor)
    });
    drain_from(draft, pool, donors)
}

/// Plans one more host for a pool; returns `false` if none is available.
fn repair_one(draft: &mut Draft<'_>, pool: PoolKey) -> bool {
    if !draft.has_capacity() {
        return false;
    }
    if let Some(host) = best_free(draft, pool) {
        let reason = shortage_reason(draft, pool);
        draft.own(host, pool, reason);
        return true;
    }
    draft.can_move() && (take_surplus(draft, pool) || borrow(draft, pool))
}

/// Drains a host of a spare pool that may lend it.
///
/// The promised availability of the spare pool must not be higher, and its budget must allow it.
fn borrow(draft: &mut Draft<'_>, pool: PoolKey) -> bool {
    let donors = donors(draft, pool, |draft, donor| {
        let (recipient, donor) = (draft.pool(pool), draft.pool(donor));
        let allowed = !draft.guards().budget || donor.remaining_budget >= MIN_DONOR_BUDGET;
        donor.is_spare()
            && !recipient.is_spare()
            && recipient.promised_availability >= donor.promised_availability
            && allowed
    });
    drain_from(draft, pool, donors)
}

/// Keys of the other pools that satisfy `predicate`.
fn donors(
    draft: &Draft<'_>,
    pool: PoolKey,
    predicate: impl Fn(&Draft<'_>, PoolKey) -> bool,
) -> Vec<PoolKey> {
    let pools = draft.index().pools().map(|(key, _)| key);
    pools
        .filter(|key| *key != pool && predicate(draft, *key))
        .collect()
}

/// Drains the healthy host of the donors that spreads `pool` best.
fn drain_from(draft: &mut Draft<'_>, pool: PoolKey, donors: Vec<PoolKey>) -> bool {
    let serving = donors
        .into_iter()
        .flat_map(|donor| draft.pool(donor).serving.clone());
    let candidates = serving.filter(|key| {
        let host = draft.host(*key);
        host.is_healthy() && draft.is_unplanned(*key) && draft.pool(pool).accepts(host)
    });
    let Some(host) = best_spread(draft, pool, candidates.collect()) else {
        return false;
    };
    let Some(from) = draft.host(host).pool else {
        return false;
    };
    let reason = Reason::PoolSurplus {
        from: Arc::clone(draft.pool(from).name),
        to: Arc::clone(draft.pool(pool).name),
    };
    draft.drain(host, reason);
    true
}

/// The candidate in the availability zone and rack with the fewest hosts of the pool.
///
/// Among equal candidates, the one whose last maintenance is the longest ago is chosen.
fn best_spread(draft: &Draft<'_>, pool: PoolKey, candidates: Vec<HostKey>) -> Option<HostKey> {
    let spread = draft.pool(pool).spread(|key| draft.host(key));
    let rank = |host: &Host<'_>| {
        (
            spread.hosts_in_same_domains(host),
            host.last_maintained_at(),
        )
    };
    candidates.into_iter().min_by(|a, b| {
        let (a, b) = (draft.host(*a), draft.host(*b));
        rank(a).cmp(&rank(b)).then(a.name.cmp(b.name))
    })
}

fn shortage_reason(draft: &Draft<'_>, pool: PoolKey) -> Reason {
    let pool = draft.pool(pool);
    Reason::PoolShort {
        pool: Arc::clone(pool.name),
        healthy: pool.serving_count(),
        needed: pool.target,
    }
}
