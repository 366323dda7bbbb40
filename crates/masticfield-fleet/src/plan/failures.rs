//! Drains and releases failed hosts, and resumes hosts that recover.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Reason;

use super::Draft;
use crate::index::{Host, HostKey, OwnershipPhase};

/// Time without a healthy report after which every lease on a host has expired.
///
/// The sum of [`LEASE_DURATION`](crate::orders::LEASE_DURATION) and a margin for clock drift.
pub const LEASE_EXPIRY: Duration = Duration::from_mins(1);

/// Plans for hosts that failed, recovered, or did not return from a reboot.
pub fn plan(draft: &mut Draft<'_>) {
    for key in draft.unplanned_hosts(Host::is_failed) {
        if draft.host(key).ownership_phase() == OwnershipPhase::Owned {
            draft.drain(key, Reason::HostFailed);
        }
    }
    for key in draft.unplanned_hosts(|host| host.ownership_phase() == OwnershipPhase::Draining) {
        handle_draining(draft, key);
    }
}

fn handle_draining(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    if host.is_in_maintenance() && draft.index().is_reboot_overdue(host) {
        return draft.release(key, Reason::LeasesEnded);
    }
    if host.record.is_some_and(|record| record.reboot.is_some()) {
        return;
    }
    if host.is_failed() {
        return release_failed(draft, key);
    }
    if host.drain_reason() == Some(&Reason::HostFailed) && host.is_healthy() {
        resume_recovered(draft, key);
    }
}

/// Releases a failed host once it is certain that it holds no lease.
fn release_failed(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    if host.is_drained() {
        draft.release(key, Reason::Drained);
    } else if host.silent_for() >= LEASE_EXPIRY || !draft.guards().release_needs_proof {
        draft.release(key, Reason::LeasesEnded);
    }
}

/// Resumes a recovered host if its pool is still short of it, and otherwise releases it.
fn resume_recovered(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    let Some(pool) = host.pool.filter(|_| host.spec.is_some()) else {
        return;
    };
    let (drained, expected) = (host.is_drained(), draft.expected_hosts(pool));
    let pool = draft.pool(pool);
    if pool.spec.is_some() && expected < pool.target {
        let reason = Reason::PoolShort {
            pool: Arc::clone(pool.name),
            healthy: pool.serving_count(),
            needed: pool.needed,
        };
        draft.resume(key, reason);
    } else if drained {
        draft.release(key, Reason::Drained);
    }
}
