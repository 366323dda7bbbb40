//! Hosts leave pools that the note withdraws, and drained hosts are released.

use std::sync::Arc;

use masticfield_core::fleet::Reason;

use super::Draft;
use crate::index::{HostKey, OwnershipPhase};

/// Plans for hosts and pools that are no longer in the configuration.
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
    if let Some(reason) = withdrawn(draft, key) {
        draft.drain(key, reason);
    }
}

/// Releases a drained host, unless it drains for something that ends otherwise.
fn release_drained(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    let leaves = match host.drain_reason() {
        Some(Reason::MaintenanceDue { .. }) => {
            withdrawn(draft, key).is_some() && host.record.is_none_or(|it| it.reboot.is_none())
        }
        Some(Reason::Operator) => withdrawn(draft, key).is_some(),
        Some(Reason::HostFailed) => false,
        _ => true,
    };
    let proved = host.is_drained() || !draft.guards().release_needs_proof;
    if leaves && proved {
        draft.release(key, Reason::Drained);
    }
}

fn withdrawn(draft: &Draft<'_>, key: HostKey) -> Option<Reason> {
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
