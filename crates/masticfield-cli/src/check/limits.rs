//! Limits that contradict each other.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::config::{FleetConfig, SpecKind};
use masticfield_core::note::{JobSpec, MaintenanceSpec, PoolSpec, Resources, TeamSpec};

use super::unmatched::hosts_of;
use super::warning::Warning;

/// Checks each object without others, and jobs with their teams.
pub(super) fn check_objects(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    for service in config.services().values() {
        if service.promise.window.is_zero() {
            let message = "has an availability that is measured over a window of zero";
            let (kind, name) = (SpecKind::Service, &service.name);
            let warning = Warning::contradiction(kind, name, "promise.window", message);
            warnings.push(warning);
        }
    }
    for job in config.jobs().values() {
        if let Some(team) = config.teams().get(&job.team) {
            check_quota(job, team, warnings);
        }
    }
    for programme in config.maintenance().values() {
        if !programme.period.is_zero() && programme.expected_outage >= programme.period {
            let message = "has an expected outage that is not below its period";
            let (kind, name) = (SpecKind::Maintenance, &programme.name);
            let warning = Warning::contradiction(kind, name, "expected_outage", message);
            warnings.push(warning);
        }
    }
}

/// Checks limits that depend on the hosts and pools.
pub(super) fn check_fleet(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    check_needs(config, warnings);
    for programme in config.maintenance().values() {
        check_period(config, programme, warnings);
    }
}

fn check_quota(job: &JobSpec, team: &TeamSpec, warnings: &mut Vec<Warning>) {
    let quota = team.quota();
    let message = if !job.size.fits_into(quota) {
        format!("has tasks that exceed the quota of team \"{}\"", team.name)
    } else if !all_tasks_fit(job, quota) {
        format!(
            "has {} tasks that together exceed the quota of team \"{}\"",
            job.tasks, team.name
        )
    } else {
        return;
    };
    let warning = Warning::contradiction(SpecKind::Job, &job.name, "size", message);
    warnings.push(warning);
}

fn all_tasks_fit(job: &JobSpec, quota: Resources) -> bool {
    let tasks = u64::from(job.tasks);
    let fits = |size: u32, quota: u32| u64::from(size) * tasks <= u64::from(quota);
    fits(job.size.millicores, quota.millicores)
        && fits(job.size.memory_mb, quota.memory_mb)
        && fits(job.size.accelerators, quota.accelerators)
}

/// Checks that the pools need no more hosts than there are, in each region and overall.
fn check_needs(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    let mut regions: BTreeMap<&str, Vec<&PoolSpec>> = BTreeMap::new();
    for pool in config.pools().values() {
        if let Some(region) = &pool.region {
            regions.entry(region).or_default().push(pool);
        }
    }
    let mut is_short = false;
    for (region, pools) in regions {
        let needed = needed(pools.iter().copied());
        let there = config
            .hosts()
            .values()
            .filter(|host| &*host.region == region);
        let there = there.count() as u64;
        // A region without hosts is reported for each pool.
        if there > 0 && needed > there {
            is_short = true;
            let message = format!(
                "and the others of region \"{region}\" need {needed} hosts, but it has {there}"
            );
            warn_need(&pools, message, warnings);
        }
    }
    let pools: Vec<_> = config.pools().values().collect();
    let (needed, there) = (needed(pools.iter().copied()), config.hosts().len() as u64);
    if !is_short && there > 0 && needed > there {
        let message = format!("and the others need {needed} hosts, but the fleet has {there}");
        warn_need(&pools, message, warnings);
    }
}

fn needed<'a>(pools: impl Iterator<Item = &'a PoolSpec>) -> u64 {
    pools.map(|pool| u64::from(pool.hosts)).sum()
}

/// Warns about the pool that needs the most hosts.
fn warn_need(pools: &[&PoolSpec], message: String, warnings: &mut Vec<Warning>) {
    if let Some(pool) = pools.iter().max_by_key(|pool| pool.hosts) {
        let (kind, name) = (SpecKind::Pool, &pool.name);
        warnings.push(Warning::contradiction(kind, name, "hosts", message));
    }
}

/// Checks that a period is long enough for a wave of every host, one batch at a time.
fn check_period(config: &FleetConfig, programme: &MaintenanceSpec, warnings: &mut Vec<Warning>) {
    let pools = config.pools().values();
    let pools =
        pools.filter(|pool| programme.pools.is_empty() || programme.pools.contains(&pool.name));
    let hosts: u64 = pools
        .filter(|pool| hosts_of(config, pool).next().is_some())
        .map(|pool| u64::from(pool.hosts))
        .sum();
    let hosts = hosts.min(config.hosts().len() as u64);
    let batches = hosts.div_ceil(u64::from(programme.batch.max(1)));
    let batches = u32::try_from(batches).unwrap_or(u32::MAX);
    let needed = programme.expected_outage.saturating_mul(batches);
    let is_below = programme.expected_outage < programme.period;
    if is_below && needed > programme.period {
        let message = format!(
            "needs {} for {hosts} hosts in batches of {}, which is more than its period",
            humantime::format_duration(round(needed)),
            programme.batch
        );
        let (kind, name) = (SpecKind::Maintenance, &programme.name);
        warnings.push(Warning::contradiction(kind, name, "period", message));
    }
}

/// The duration in whole seconds.
const fn round(duration: Duration) -> Duration {
    Duration::from_secs(duration.as_secs())
}
