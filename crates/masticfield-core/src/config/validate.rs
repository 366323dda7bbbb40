//! Consistency checks of a configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::named::Named;
use super::{FleetConfig, NoteProblem};

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Adds every inconsistency of `cfg` to `problems`.
pub(super) fn check(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    check_hosts(cfg, problems);
    check_pools(cfg, problems);
    check_services(cfg, problems);
    check_teams(cfg, problems);
    check_jobs(cfg, problems);
    check_maintenance(cfg, problems);
}

fn check_hosts(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    for host in cfg.hosts.values() {
        check_name(host, problems);
        require(host, host.cores > 0, "cores", "at least 1", problems);
        require(
            host,
            host.memory_gb > 0,
            "memory_gb",
            "at least 1",
            problems,
        );
    }
}

fn check_pools(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    for pool in cfg.pools.values() {
        check_name(pool, problems);
    }
}

fn check_services(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    for service in cfg.services.values() {
        check_name(service, problems);
        require_target(service, &service.pool, &cfg.pools, problems);
        require(service, service.slots > 0, "slots", "at least 1", problems);
        let sufficient = service.connections >= service.slots;
        require(
            service,
            sufficient,
            "connections",
            "at least the slots",
            problems,
        );
        require(
            service,
            !service.deadline.is_zero(),
            "deadline",
            "above zero",
            problems,
        );
        let availability = service.promise.availability;
        let is_fraction = (0.0..=1.0).contains(&availability);
        require(
            service,
            is_fraction,
            "promise.availability",
            "between 0 and 1",
            problems,
        );
    }
}

fn check_teams(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    for team in cfg.teams.values() {
        check_name(team, problems);
    }
}

fn check_jobs(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    for job in cfg.jobs.values() {
        check_name(job, problems);
        require_target(job, &job.pool, &cfg.pools, problems);
        require_target(job, &job.team, &cfg.teams, problems);
        require(job, job.tasks > 0, "tasks", "at least 1", problems);
    }
}

fn check_maintenance(cfg: &FleetConfig, problems: &mut Vec<NoteProblem>) {
    for programme in cfg.maintenance.values() {
        check_name(programme, problems);
        for pool in &programme.pools {
            require_target(programme, pool, &cfg.pools, problems);
        }
        require(
            programme,
            programme.batch > 0,
            "batch",
            "at least 1",
            problems,
        );
        require(
            programme,
            !programme.period.is_zero(),
            "period",
            "above zero",
            problems,
        );
    }
}

fn check_name<T: Named>(spec: &T, problems: &mut Vec<NoteProblem>) {
    let name = spec.name();
    let valid = !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.'));
    let expected = "1 to 64 letters, digits, hyphens, underscores or dots";
    require(spec, valid, "name", expected, problems);
}

/// Adds a problem unless `holds` is true.
fn require<T: Named>(
    spec: &T,
    holds: bool,
    field: &str,
    expected: &str,
    problems: &mut Vec<NoteProblem>,
) {
    if !holds {
        problems.push(NoteProblem::OutOfRange {
            kind: T::KIND,
            name: Arc::clone(spec.name()),
            field: field.into(),
            expected: expected.into(),
        });
    }
}

/// Adds a problem if `targets` does not contain what `spec` refers to.
fn require_target<T: Named, U: Named>(
    spec: &T,
    target_name: &Arc<str>,
    targets: &BTreeMap<Arc<str>, U>,
    problems: &mut Vec<NoteProblem>,
) {
    if !targets.contains_key(target_name) {
        problems.push(NoteProblem::Dangling {
            kind: T::KIND,
            name: Arc::clone(spec.name()),
            target: U::KIND,
            target_name: Arc::clone(target_name),
        });
    }
}
