//! Maintenance in waves, within availability budgets and one availability zone at a time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Reason;
use masticfield_core::note::MaintenanceSpec;
use slotmap::SecondaryMap;

use super::{Draft, moves};
use crate::index::{Host, HostKey, OwnershipPhase, PoolKey};
use crate::reserve::ReservePolicy;

/// Divisor of the budget that maintenance may use; the rest is left for failures.
const BUDGET_DIVISOR: u32 = 2;

/// Lead time before the end of a period, in multiples of the duration of a whole wave.
const LEAD_WAVES: u32 = 4;

/// Continues the maintenance under way and plans the next wave of every programme.
pub fn plan(draft: &mut Draft<'_>) {
    for key in draft.unplanned_hosts(Host::is_in_maintenance) {
        continue_maintenance(draft, key);
    }
    if is_paused(draft) {
        return;
    }
    let config = draft.index().view().config;
    for programme in config.maintenance().values() {
        Wave::new(draft, programme).plan(draft);
    }
}

/// Reboots a drained host, and resumes a host that has completed its reboot.
fn continue_maintenance(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    let Some(Reason::MaintenanceDue { programme }) = host.drain_reason() else {
        return;
    };
    let programme = Arc::clone(programme);
    let order = host.record.and_then(|record| record.reboot);
    let reboots = host.report.map_or(0, |report| report.reboots);
    match order {
        None if host.is_drained() => draft.reboot(key, Reason::MaintenanceDue { programme }),
        Some(order) if host.is_healthy() && reboots > order.completed => {
            draft.resume(key, Reason::MaintenanceOver { programme });
        }
        _ => {}
    }
}

/// Whether maintenance is paused because failed hosts are not replaced yet.
fn is_paused(draft: &Draft<'_>) -> bool {
    if !draft.guards().pause_maintenance {
        return false;
    }
    let any_short = draft.index().pools().any(|(_, pool)| {
        pool.serving_count() + pool.in_maintenance < pool.needed && !pool.is_spare()
    });
    let failing = draft.unplanned_hosts(|host| {
        host.ownership_phase() == OwnershipPhase::Draining
            && host.drain_reason() == Some(&Reason::HostFailed)
    });
    any_short || !failing.is_empty()
}

/// The hosts of a programme that are due, and the limits within which they may be drained.
#[derive(Debug)]
struct Wave<'a> {
    programme: &'a MaintenanceSpec,
    /// Due hosts, the longest overdue first.
    due: Vec<HostKey>,
    due_by_pool: SecondaryMap<PoolKey, u32>,
    /// Availability zone of the hosts in maintenance; only hosts of this zone may join them.
    zone: Option<&'a str>,
    /// Number of hosts that may still be drained in this batch.
    remaining_batch: u32,
}

impl<'a> Wave<'a> {
    fn new(draft: &Draft<'a>, programme: &'a MaintenanceSpec) -> Self {
        let now = draft.index().now();
        let includes = |host: &Host<'_>| {
            let pool = host.pool.map(|pool| draft.pool(pool).name);
            programme.pools.is_empty() || pool.is_some_and(|pool| programme.pools.contains(pool))
        };
        let members = draft.unplanned_hosts(|host| includes(host) && host.spec.is_some());
        let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
        let min_age = due_age(programme, count);
        let mut due = members;
        due.retain(|key| {
            let host = draft.host(*key);
            let usable = host.is_healthy() && (host.is_serving() || host.is_free());
            usable && host.time_since_maintenance(&programme.name, now) >= min_age
        });
        let age = |key: &HostKey| {
            draft
                .host(*key)
                .time_since_maintenance(&programme.name, now)
        };
        due.sort_by(|a, b| {
            let name = draft.host(*a).name.cmp(draft.host(*b).name);
            age(b).cmp(&age(a)).then(name)
        });
        let in_maintenance = draft
            .index()
            .pools()
            .map(|(_, pool)| pool.in_maintenance)
            .sum();
        Self {
            programme,
            due_by_pool: count_by_pool(draft, &due),
            zone: zone_in_maintenance(draft),
            due,
            remaining_batch: programme.batch.saturating_sub(in_maintenance),
        }
    }

    fn plan(mut self, draft: &mut Draft<'a>) {
        self.drain_covered(draft);
        if self.remaining_batch > 0 {
            self.cover_next(draft);
        }
        self.assign_free_to_spare(draft);
    }

    /// Drains due hosts of pools that can spare them.
    fn drain_covered(&mut self, draft: &mut Draft<'a>) {
        for key in self.due.clone() {
            if self.remaining_batch == 0 {
                return;
            }
            let Some(pool) = draft.host(key).pool else {
                continue;
            };
            let zone = zone(draft.host(key));
            let shares_zone = self.zone.is_none() || self.zone == zone;
            if !shares_zone || !self.may_drain(draft, pool) {
                continue;
            }
            self.zone = zone;
            let programme = Arc::clone(&self.programme.name);
            draft.drain(key, Reason::MaintenanceDue { programme });
            self.remaining_batch -= 1;
        }
    }

    /// Whether a pool has a surplus host, or a budget for the whole wave.
    fn may_drain(&self, draft: &Draft<'_>, pool: PoolKey) -> bool {
        !draft.guards().budget || draft.pool(pool).surplus() > 0 || self.fits_budget(draft, pool)
    }

    /// Whether the budget of a pool covers the outages of all its due hosts, one after another.
    fn fits_budget(&self, draft: &Draft<'_>, pool: PoolKey) -> bool {
        let due = self.due_by_pool.get(pool).copied().unwrap_or(0);
        let available = draft.pool(pool).remaining_budget / BUDGET_DIVISOR;
        draft.pool(pool).in_maintenance == 0
            && self.programme.expected_outage.saturating_mul(due) <= available
    }

    /// Plans an additional host for the first due pool without one, so that it can spare a host.
    fn cover_next(&self, draft: &mut Draft<'_>) {
        let mut uncovered: Vec<PoolKey> = Vec::new();
        let mut covered = 0;
        let mut checked = BTreeSet::new();
        for pool in self.due.iter().filter_map(|key| draft.host(*key).pool) {
            if !checked.insert(pool) {
                continue;
            }
            if draft.expected_hosts(pool) > draft.pool(pool).needed
                || draft.pool(pool).in_maintenance > 0
            {
                covered += 1;
            } else if !self.fits_budget(draft, pool) {
                uncovered.push(pool);
            }
        }
        let missing = self.programme.batch.saturating_sub(covered) as usize;
        for pool in uncovered.into_iter().take(missing.min(1)) {
            self.cover(draft, pool);
        }
    }

    /// Plans an additional host for a pool: a free one, or the surplus of another pool.
    ///
    /// The other pool must have no host that is due or in maintenance.
    fn cover(&self, draft: &mut Draft<'_>, pool: PoolKey) {
        let programme = Arc::clone(&self.programme.name);
        if draft.reserve() == ReservePolicy::PerPool {
            return;
        }
        if let Some(host) = moves::best_free(draft, pool) {
            draft.own(host, pool, Reason::MaintenanceDue { programme });
        } else if draft.can_move() {
            let without_maintenance = draft
                .index()
                .pools()
                .filter(|(_, pool)| pool.in_maintenance == 0);
            let without_maintenance: Vec<_> = without_maintenance.map(|(key, _)| key).collect();
            let may_donate = |donor: PoolKey| {
                without_maintenance.contains(&donor) && !self.due_by_pool.contains_key(donor)
            };
            moves::take_surplus_of(draft, pool, may_donate);
        }
    }

    /// Assigns due hosts that no pool owns to the spare pool, which can spare them.
    ///
    /// Free hosts come last: none is assigned while an owned host is due or the plan has actions.
    fn assign_free_to_spare(&self, draft: &mut Draft<'_>) {
        let spare = draft.index().pools().find(|(_, pool)| pool.is_spare());
        let Some(spare) = spare.map(|(key, _)| key) else {
            return;
        };
        let is_busy =
            !draft.is_empty() || self.due.iter().any(|key| draft.host(*key).pool.is_some());
        for key in self.due.iter().filter(|_| !is_busy) {
            if draft.is_unplanned(*key) && draft.host(*key).is_free() {
                let programme = Arc::clone(&self.programme.name);
                draft.own(*key, spare, Reason::MaintenanceDue { programme });
            }
        }
    }
}

/// Number of the given hosts in each pool.
fn count_by_pool(draft: &Draft<'_>, hosts: &[HostKey]) -> SecondaryMap<PoolKey, u32> {
    let mut counts = SecondaryMap::new();
    for pool in hosts.iter().filter_map(|key| draft.host(*key).pool) {
        let count = counts.get(pool).copied().unwrap_or(0);
        counts.insert(pool, count + 1);
    }
    counts
}

/// Time since the last maintenance after which a host of a programme is due.
///
/// A programme with `members` hosts starts ahead of the end of its period, by a multiple of the
/// time that a wave over all of them takes, but by half of the period at most.
fn due_age(programme: &MaintenanceSpec, members: u32) -> Duration {
    let batches = members.div_ceil(programme.batch.max(1));
    let lead = programme
        .expected_outage
        .saturating_mul(batches.saturating_mul(LEAD_WAVES));
    programme
        .period
        .saturating_sub(lead.min(programme.period / 2))
}

/// The availability zone of the hosts that are, or are planned to be, in maintenance.
fn zone_in_maintenance<'a>(draft: &Draft<'a>) -> Option<&'a str> {
    let mut hosts = draft.index().hosts();
    let in_maintenance = hosts
        .find(|(key, host)| host.is_in_maintenance() || draft.is_planned_for_maintenance(*key));
    zone(in_maintenance?.1)
}

fn zone<'a>(host: &Host<'a>) -> Option<&'a str> {
    host.spec.map(|spec| &*spec.zone)
}
