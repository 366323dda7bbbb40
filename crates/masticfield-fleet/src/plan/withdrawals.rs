//! Drains withdrawn hosts and releases drained ones.

use std::sync::Arc;

use masticfield_core::fleet::Reason;

use super::Draft;
use crate::index::{HostKey, OwnershipPhase};

/// Plans for hosts that are withdrawn or whose pool may no longer own them.
pub fn plan(draft: &mut Draft<'_>) {
    for key in draft.unplanned_hosts(|host| host.pool.is_some()) {
        match draft.host(key).ownership_phase() {
            OwnershipPhase::Owned => drain_withdrawn(draft, key),
            OwnershipPhase::Draining => release_drained(draft, key),
            OwnershipPhase::New | OwnershipPhase::Released => {}
        }
    }
}

fn drain_withdrawn(draft: &mut Draft<'_>, key: HostKey) {
    if let Some(reason) = withdrawal_reason(draft, key) {
        draft.drain(key, reason);
    }
}

/// Releases a drained host, unless it drains for a reason that ends in another way.
///
/// Maintenance and operator drains end with a resume, failures are handled by [`failures`].
///
/// [`failures`]: super::failures
fn release_drained(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    let leaves_pool = match host.drain_reason() {
        Some(Reason::MaintenanceDue { .. }) => {
            withdrawal_reason(draft, key).is_some()
                && host.record.is_none_or(|record| record.reboot.is_none())
        }
        Some(Reason::Operator) => withdrawal_reason(draft, key).is_some(),
        Some(Reason::HostFailed) => false,
        _ => true,
    };
    let is_proven = host.is_drained() || !draft.guards().release_needs_proof;
    if leaves_pool && is_proven {
        draft.release(key, Reason::Drained);
    }
}

/// Why a host must leave its pool: the host or the pool is withdrawn, or the region differs.
fn withdrawal_reason(draft: &Draft<'_>, key: HostKey) -> Option<Reason> {
    let host = draft.host(key);
    if host.spec.is_none() {
        return Some(Reason::HostWithdrawn);
    }
    let pool = draft.pool(host.pool?);
    let gone = pool.spec.is_none() || !pool.accepts(host);
    gone.then(|| Reason::PoolWithdrawn {
        pool: Arc::clone(pool.name),
    })
}
