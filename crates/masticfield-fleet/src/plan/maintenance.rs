//! Maintenance in waves, within budgets and one availability zone at a time.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Reason;
use masticfield_core::note::MaintenanceSpec;
use slotmap::SecondaryMap;

use super::{Draft, moves};
use crate::index::{Host, HostKey, OwnershipPhase, PoolKey};
use crate::reserve::ReservePolicy;

/// Share of a budget that maintenance leaves to failures, as a divisor.
const BUDGET_DIVISOR: u32 = 2;

/// How many times the length of a wave it starts ahead of its period's end.
const LEAD_WAVES: u32 = 4;

/// Plans the next steps of every programme.
pub fn plan(draft: &mut Draft<'_>) {
    for key in draft.unplanned_hosts(Host::is_in_maintenance) {
        go_on(draft, key);
    }
    if is_paused(draft) {
        return;
    }
    let config = draft.index().view().config;
    for programme in config.maintenance().values() {
        Wave::new(draft, programme).plan(draft);
    }
}

/// Reboots a drained host, and resumes one that has come back.
fn go_on(draft: &mut Draft<'_>, key: HostKey) {
    let host = draft.host(key);
    let Some(Reason::MaintenanceDue { programme }) = host.drain_reason() else {
        return;
    };
    let programme = Arc::clone(programme);
    let order = host.record.and_then(|record| record.reboot);
    let reboots = host.report.map_or(0, |seen| seen.reboots);
    match order {
        None if host.is_drained() => draft.reboot(key, Reason::MaintenanceDue { programme }),
        Some(order) if host.is_healthy() && reboots > order.completed => {
            draft.resume(key, Reason::MaintenanceOver { programme });
        }
        _ => {}
    }
}

/// Whether failures are not made up for yet.
fn is_paused(draft: &Draft<'_>) -> bool {
    if !draft.guards().pause_maintenance {
        return false;
    }
    let short = draft.index().pools().any(|(_, pool)| {
        pool.serving_count() + pool.in_maintenance < pool.needed && !pool.is_spare()
    });
    let failing = draft.unplanned_hosts(|host| {
        host.ownership_phase() == OwnershipPhase::Draining
            && host.drain_reason() == Some(&Reason::HostFailed)
    });
    short || !failing.is_empty()
}

/// The hosts of a programme that are due, and those that are out.
#[derive(Debug)]
struct Wave<'a> {
    programme: &'a MaintenanceSpec,
    due: Vec<HostKey>,
    due_in: SecondaryMap<PoolKey, u32>,
    zone: Option<&'a str>,
    room: u32,
}

impl<'a> Wave<'a> {
    fn new(draft: &Draft<'a>, programme: &'a MaintenanceSpec) -> Self {
        let now = draft.index().now();
        let covers = |host: &Host<'_>| {
            let pool = host.pool.map(|pool| draft.pool(pool).name);
            programme.pools.is_empty() || pool.is_some_and(|pool| programme.pools.contains(pool))
        };
        let members = draft.unplanned_hosts(|host| covers(host) && host.spec.is_some());
        let count = u32::try_from(members.len()).unwrap_or(u32::MAX);
        let from = due_from(programme, count);
        let mut due = members;
        due.retain(|key| {
            let host = draft.host(*key);
            let usable = host.is_healthy() && (host.is_serving() || host.is_free());
            usable && host.time_since_maintenance(&programme.name, now) >= from
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
        let out = draft
            .index()
            .pools()
            .map(|(_, pool)| pool.in_maintenance)
            .sum();
        Self {
            programme,
            due_in: count_by_pool(draft, &due),
            zone: zone_out(draft),
            due,
            room: programme.batch.saturating_sub(out),
        }
    }

    fn plan(mut self, draft: &mut Draft<'a>) {
        self.drain_covered(draft);
        if self.room > 0 {
            self.cover_next(draft);
        }
        self.adopt_free(draft);
    }

    /// Drains due hosts of pools that can do without them.
    fn drain_covered(&mut self, draft: &mut Draft<'a>) {
        for key in self.due.clone() {
            if self.room == 0 {
                return;
            }
            let Some(pool) = draft.host(key).pool else {
                continue;
            };
            let place = zone(draft.host(key));
            let shares_zone = self.zone.is_none() || self.zone == place;
            if !shares_zone || !self.may_drain(draft, pool) {
                continue;
            }
            self.zone = place;
            let programme = Arc::clone(&self.programme.name);
            draft.drain(key, Reason::MaintenanceDue { programme });
            self.room -= 1;
        }
    }

    /// Whether a pool has a host too many, or a budget for the whole wave.
    fn may_drain(&self, draft: &Draft<'_>, pool: PoolKey) -> bool {
        !draft.guards().budget || draft.pool(pool).surplus() > 0 || self.fits_budget(draft, pool)
    }

    /// Whether the budget of a pool bears the outage of all its due hosts one by one.
    fn fits_budget(&self, draft: &Draft<'_>, pool: PoolKey) -> bool {
        let due = self.due_in.get(pool).copied().unwrap_or(0);
        let left = draft.pool(pool).remaining_budget / BUDGET_DIVISOR;
        draft.pool(pool).in_maintenance == 0
            && self.programme.expected_outage.saturating_mul(due) <= left
    }

    /// Gives one more host to the pool whose host is due first, so that it can do without one.
    fn cover_next(&self, draft: &mut Draft<'_>) {
        let mut uncovered: Vec<PoolKey> = Vec::new();
        let mut covered = 0;
        let mut seen = BTreeSet::new();
        for pool in self.due.iter().filter_map(|key| draft.host(*key).pool) {
            if !seen.insert(pool) {
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
        let wanted = self.programme.batch.saturating_sub(covered) as usize;
        for pool in uncovered.into_iter().take(wanted.min(1)) {
            self.cover(draft, pool);
        }
    }

    fn cover(&self, draft: &mut Draft<'_>, pool: PoolKey) {
        let programme = Arc::clone(&self.programme.name);
        if draft.reserve() == ReservePolicy::PerPool {
            return;
        }
        if let Some(host) = moves::best_free(draft, pool) {
            draft.own(host, pool, Reason::MaintenanceDue { programme });
        } else if draft.can_move() {
            let idle = draft
                .index()
                .pools()
                .filter(|(_, pool)| pool.in_maintenance == 0);
            let idle: Vec<_> = idle.map(|(key, _)| key).collect();
            let done = |giver: PoolKey| idle.contains(&giver) && !self.due_in.contains_key(giver);
            moves::take_surplus_of(draft, pool, done);
        }
    }

    /// Gives due hosts that no pool owns to the spare pool, which can do without them.
    fn adopt_free(&self, draft: &mut Draft<'_>) {
        let spare = draft.index().pools().find(|(_, pool)| pool.is_spare());
        let Some(spare) = spare.map(|(key, _)| key) else {
            return;
        };
        let owned_due =
            !draft.is_empty() || self.due.iter().any(|key| draft.host(*key).pool.is_some());
        for key in self.due.iter().filter(|_| !owned_due) {
            if draft.is_unplanned(*key) && draft.host(*key).is_free() {
                let programme = Arc::clone(&self.programme.name);
                draft.own(*key, spare, Reason::MaintenanceDue { programme });
            }
        }
    }
}

fn count_by_pool(draft: &Draft<'_>, hosts: &[HostKey]) -> SecondaryMap<PoolKey, u32> {
    let mut counts = SecondaryMap::new();
    for pool in hosts.iter().filter_map(|key| draft.host(*key).pool) {
        let count = counts.get(pool).copied().unwrap_or(0);
        counts.insert(pool, count + 1);
    }
    counts
}

/// Age from which a host of a programme with `members` hosts is due.
fn due_from(programme: &MaintenanceSpec, members: u32) -> Duration {
    let turns = members.div_ceil(programme.batch.max(1));
    let lead = programme
        .expected_outage
        .saturating_mul(turns.saturating_mul(LEAD_WAVES));
    programme
        .period
        .saturating_sub(lead.min(programme.period / 2))
}

/// The availability zone of the hosts that are out for maintenance.
fn zone_out<'a>(draft: &Draft<'a>) -> Option<&'a str> {
    let mut hosts = draft.index().hosts();
    let out = hosts
        .find(|(key, host)| host.is_in_maintenance() || draft.is_planned_for_maintenance(*key));
    zone(out?.1)
}

fn zone<'a>(host: &Host<'a>) -> Option<&'a str> {
    host.spec.map(|spec| &*spec.zone)
}
