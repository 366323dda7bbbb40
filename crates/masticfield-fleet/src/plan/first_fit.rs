//! First-fit baseline, which assigns all hosts anew in each plan.

use std::sync::Arc;

use masticfield_core::fleet::Reason;

use super::Draft;
use crate::index::{Host, HostKey, PoolKey};

/// Assigns usable hosts to pools, both in the order of their names, and plans the differences.
pub fn plan(draft: &mut Draft<'_>) {
    let mut usable = draft
        .unplanned_hosts(|host| host.is_free() || is_healthy_member(host))
        .into_iter();
    let pools: Vec<_> = draft.index().pools().map(|(key, _)| key).collect();
    for pool in pools {
        let wanted = draft
            .pool(pool)
            .target
            .saturating_sub(draft.pool(pool).in_maintenance);
        for host in usable.by_ref().take(wanted as usize) {
            assign(draft, host, pool);
        }
    }
}

/// Whether a host is in use by its pool and healthy, so that it can be assigned anew.
fn is_healthy_member(host: &Host<'_>) -> bool {
    host.is_serving() && host.is_healthy()
}

/// Plans that `pool` owns the host, or that the host drains to move there.
fn assign(draft: &mut Draft<'_>, key: HostKey, pool: PoolKey) {
    let host = draft.host(key);
    if host.is_free() {
        let to = draft.pool(pool);
        let reason = Reason::PoolShort {
            pool: Arc::clone(to.name),
            healthy: to.serving_count(),
            needed: to.needed,
        };
        return draft.own(key, pool, reason);
    }
    let Some(from) = host.pool.filter(|from| *from != pool) else {
        return;
    };
    if draft.can_move() {
        let reason = Reason::PoolSurplus {
            from: Arc::clone(draft.pool(from).name),
            to: Arc::clone(draft.pool(pool).name),
        };
        draft.drain(key, reason);
    }
}
