//! Entries that can never match anything.

use std::collections::BTreeSet;
use std::hash::Hash;
use std::sync::Arc;

use masticfield_core::config::{FleetConfig, SpecKind};
use masticfield_core::note::{HostSpec, JobSpec, PoolSpec, ReleaseNote};

use super::warning::Warning;

/// Returns the declarations that a later one in the same section replaces.
pub(super) fn overridden(note: &ReleaseNote) -> Vec<Warning> {
    let mut warnings = Vec::new();
    let changed = &note.changed;
    macro_rules! check {
        ($($list:ident => $kind:ident),* $(,)?) => {
            $(for name in repeated(changed.$list.iter().map(|spec| &spec.name)) {
                let message = "is changed twice; only the last declaration has an effect";
                let kind = SpecKind::$kind;
                warnings.push(Warning::unmatched(kind, name, "name", message));
            })*
        };
    }
    check! {
        hosts => Host,
        pools => Pool,
        services => Service,
        teams => Team,
        jobs => Job,
        maintenance => Maintenance,
    }
    warnings
}

/// The items that occur more than once.
fn repeated<T: Hash + Ord + Copy>(items: impl Iterator<Item = T>) -> BTreeSet<T> {
    let mut seen = BTreeSet::new();
    items.filter(|item| !seen.insert(*item)).collect()
}

/// Checks each object without the others.
pub(super) fn check_objects(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    for service in config.services().values() {
        let name = &service.name;
        if matches!(&**name, "." | "..") {
            let message = "is never requested, as clients remove such a segment from a path";
            warnings.push(Warning::unmatched(SpecKind::Service, name, "name", message));
        }
        if service.executors == 0 {
            let message = "needs no executors, so no request is served";
            let field = "executors";
            warnings.push(Warning::unmatched(SpecKind::Service, name, field, message));
        }
    }
}

/// Checks the objects of a configuration together.
pub(super) fn check_fleet(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    for host in config.hosts().values() {
        check_host(config, host, warnings);
    }
    for pool in config.pools().values() {
        check_pool(config, pool, warnings);
    }
    for job in config.jobs().values() {
        check_job(config, job, warnings);
    }
    check_teams(config, warnings);
    check_maintenance(config, warnings);
}

fn check_host(config: &FleetConfig, host: &HostSpec, warnings: &mut Vec<Warning>) {
    let mut pools = config.pools().values().peekable();
    if pools.peek().is_some() && !pools.any(|pool| accepts(pool, host)) {
        let message = "is in a region that no pool accepts";
        let name = &host.name;
        warnings.push(Warning::unmatched(SpecKind::Host, name, "region", message));
    }
}

fn check_pool(config: &FleetConfig, pool: &PoolSpec, warnings: &mut Vec<Warning>) {
    let mut warn = |field, message| {
        let warning = Warning::unmatched(SpecKind::Pool, &pool.name, field, message);
        warnings.push(warning);
    };
    let is_used = config.services().values().any(|s| s.pool == pool.name)
        || config.jobs().values().any(|job| job.pool == pool.name);
    if is_used && !may_have_hosts(pool) {
        warn(
            "hosts",
            "needs no hosts, but services or jobs are to run on it",
        );
    }
    if !is_used && !pool.spare {
        warn("name", "carries no service and no job");
    }
    let wants_hosts = may_have_hosts(pool) || is_used;
    if wants_hosts && hosts_of(config, pool).next().is_none() {
        let field = if pool.region.is_some() {
            "region"
        } else {
            "hosts"
        };
        warn(field, "accepts none of the hosts");
    }
}

fn check_job(config: &FleetConfig, job: &JobSpec, warnings: &mut Vec<Warning>) {
    let Some(pool) = config.pools().get(&job.pool) else {
        return;
    };
    let mut hosts = hosts_of(config, pool).peekable();
    if hosts.peek().is_some() && !hosts.any(|host| job.size.fits_into(host.capacity())) {
        let message = format!("has tasks that fit no host of pool \"{}\"", pool.name);
        warnings.push(Warning::unmatched(
            SpecKind::Job,
            &job.name,
            "size",
            message,
        ));
    }
}

fn check_teams(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    let used: BTreeSet<_> = config.jobs().values().map(|job| &job.team).collect();
    for name in config.teams().keys().filter(|name| !used.contains(name)) {
        let message = "has no jobs, so its quota limits nothing";
        warnings.push(Warning::unmatched(SpecKind::Team, name, "name", message));
    }
}

fn check_maintenance(config: &FleetConfig, warnings: &mut Vec<Warning>) {
    for programme in config.maintenance().values() {
        let is_member =
            |name: &&Arc<str>| programme.pools.is_empty() || programme.pools.contains(*name);
        let pools = config.pools();
        let mut members = pools
            .keys()
            .filter(is_member)
            .filter_map(|name| pools.get(name));
        let applies =
            members.any(|pool| may_have_hosts(pool) && hosts_of(config, pool).next().is_some());
        if !applies {
            let (kind, name) = (SpecKind::Maintenance, &programme.name);
            let message = "applies to no host";
            warnings.push(Warning::unmatched(kind, name, "pools", message));
        }
    }
}

/// Whether the pool ever owns hosts: it needs some, or holds the reserve.
pub(super) const fn may_have_hosts(pool: &PoolSpec) -> bool {
    pool.hosts > 0 || pool.spare
}

/// The hosts that a pool accepts.
pub(super) fn hosts_of<'a>(
    config: &'a FleetConfig,
    pool: &'a PoolSpec,
) -> impl Iterator<Item = &'a HostSpec> {
    config.hosts().values().filter(|host| accepts(pool, host))
}

fn accepts(pool: &PoolSpec, host: &HostSpec) -> bool {
    let region = pool.region.as_ref();
    region.is_none_or(|region| *region == host.region)
}
