//! Pools that lack hosts get them, with the fewest moves.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Reason;

use super::Draft;
use crate::index::{Host, HostKey, PoolKey};

/// Budget that a lending pool keeps for its own failures.
const LENDER_KEEPS: Duration = Duration::from_mins(10);

/// Mends the shortages of pools, highest promise first.
///
/// Free hosts come first, then hosts that other pools have beyond their need, then those that
/// a spare pool lends.
pub fn repair(draft: &mut Draft<'_>) {
    for pool in draft.index().by_repair_priority() {
        while draft.expected_hosts(pool) < draft.pool(pool).needed {
            if !mend_one(draft, pool) {
                break;
            }
        }
    }
}

/// Fills pools up to the reserve that they hold, from free hosts only.
pub fn fill_reserve(draft: &mut Draft<'_>) {
    for pool in draft.index().by_repair_priority() {
        while draft.expected_hosts(pool) < draft.pool(pool).target && draft.has_capacity() {
            let Some(host) = best_free(draft, pool) else {
                break;
            };
            let reason = shortage(draft, pool);
            draft.own(host, pool, reason);
        }
    }
}

/// The free host that spreads a pool best.
pub fn best_free(draft: &Draft<'_>, pool: PoolKey) -> Option<HostKey> {
    let free = draft.unplanned_hosts(|host| host.is_free() && draft.pool(pool).accepts(host));
    best(draft, pool, free)
}

/// Drains the host of another pool's surplus that spreads `pool` best.
pub fn take_surplus(draft: &mut Draft<'_>, pool: PoolKey) -> bool {
    take_surplus_of(draft, pool, |_| true)
}

/// Drains a host of the surplus of those pools that pass a test.
pub fn take_surplus_of(
    draft: &mut Draft<'_>,
    pool: PoolKey,
    test: impl Fn(PoolKey) -> bool,
) -> bool {
    let givers = givers(draft, pool, |draft, giver| {
        draft.pool(giver).surplus() > 0 && test(giver)
    });
    take_from(draft, pool, givers)
}

fn mend_one(draft: &mut Draft<'_>, pool: PoolKey) -> bool {
    if !draft.has_capacity() {
        return false;
    }
    if let Some(host) = best_free(draft, pool) {
        let reason = shortage(draft, pool);
        draft.own(host, pool, reason);
        return true;
    }
    draft.can_move() && (take_surplus(draft, pool) || borrow(draft, pool))
}

/// Drains a host of a spare pool whose promise is lower and whose budget allows it.
fn borrow(draft: &mut Draft<'_>, pool: PoolKey) -> bool {
    let givers = givers(draft, pool, |draft, giver| {
        let (to, giver) = (draft.pool(pool), draft.pool(giver));
        let allowed = !draft.guards().budget || giver.remaining_budget >= LENDER_KEEPS;
        giver.is_spare()
            && !to.is_spare()
            && to.promised_availability >= giver.promised_availability
            && allowed
    });
    take_from(draft, pool, givers)
}

fn givers(
    draft: &Draft<'_>,
    pool: PoolKey,
    test: impl Fn(&Draft<'_>, PoolKey) -> bool,
) -> Vec<PoolKey> {
    let pools = draft.index().pools().map(|(key, _)| key);
    pools
        .filter(|key| *key != pool && test(draft, *key))
        .collect()
}

fn take_from(draft: &mut Draft<'_>, pool: PoolKey, givers: Vec<PoolKey>) -> bool {
    let serving = givers
        .into_iter()
        .flat_map(|giver| draft.pool(giver).serving.clone());
    let candidates = serving.filter(|key| {
        let host = draft.host(*key);
        host.is_healthy() && draft.is_unplanned(*key) && draft.pool(pool).accepts(host)
    });
    let Some(host) = best(draft, pool, candidates.collect()) else {
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

/// The candidate in the availability zone and rack that hold the fewest hosts of the pool.
///
/// Among equals, the one that was maintained longest ago goes first.
fn best(draft: &Draft<'_>, pool: PoolKey, candidates: Vec<HostKey>) -> Option<HostKey> {
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

fn shortage(draft: &Draft<'_>, pool: PoolKey) -> Reason {
    let pool = draft.pool(pool);
    Reason::PoolShort {
        pool: Arc::clone(pool.name),
        healthy: pool.serving_count(),
        needed: pool.target,
    }
}
