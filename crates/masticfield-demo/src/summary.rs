//! Summary of a run of the demo.

use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use masticfield_core::operator::FleetStatus;
use masticfield_fake::upstream::RequestStats;

use crate::load::ServiceReport;

/// Results of a run of the demo; its [`Display`](fmt::Display) form is the printed report.
#[derive(Debug)]
pub struct Summary {
    pub(crate) services: Vec<ServiceReport>,
    pub(crate) status: FleetStatus,
    /// Time from sending the note until all entries served it; `None` if they did not do so
    /// in time.
    pub(crate) in_force_after: Option<Duration>,
    pub(crate) stats: RequestStats,
}

/// A guarantee of masticfield that the run violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// This many requests received a response without an outcome, or one to another request.
    UntrueAnswer(u64),
    /// This many requests failed without a complete HTTP response.
    Unreachable(u64),
    /// This many requests reached an executor whose slots were all in use.
    OverSlots(u64),
    /// This many requests with an idempotency key ran more than once.
    RanTwice(usize),
    /// The release note is not in force on all entries.
    NotInForce,
    /// At least one service answered no request.
    Unserved,
}

impl Summary {
    /// Guarantees that the run violated.
    pub fn violations(&self) -> Vec<Violation> {
        let sum = |count: fn(&ServiceReport) -> u64| self.services.iter().map(count).sum::<u64>();
        let mismatched = sum(|service| service.report.mismatched());
        let unreachable = sum(|service| service.report.unreachable());
        let over_slots = self.stats.over_slots();
        let ran_twice = self.stats.duplicated_keys();
        let unserved = self
            .services
            .iter()
            .any(|service| service.report.answered() == 0);
        let checks = [
            (mismatched > 0, Violation::UntrueAnswer(mismatched)),
            (unreachable > 0, Violation::Unreachable(unreachable)),
            (over_slots > 0, Violation::OverSlots(over_slots)),
            (ran_twice > 0, Violation::RanTwice(ran_twice)),
            (!self.status.in_force, Violation::NotInForce),
            (unserved || self.services.is_empty(), Violation::Unserved),
        ];
        checks
            .into_iter()
            .filter(|(violated, _)| *violated)
            .map(|(_, violation)| violation)
            .collect()
    }

    fn service_table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(UTF8_HORIZONTAL_ONLY);
        table.set_header([
            "service", "answered", "not run", "unknown", "p50 wait", "p99 wait",
        ]);
        for ServiceReport { service, report } in &self.services {
            table.add_row([
                service.to_string(),
                report.answered().to_string(),
                report.not_run().to_string(),
                report.unknown().to_string(),
                format!("{:.1} ms", report.latency_at(0.5).as_secs_f64() * 1e3),
                format!("{:.1} ms", report.latency_at(0.99).as_secs_f64() * 1e3),
            ]);
        }
        table
    }

    fn pool_table(&self) -> Table {
        let mut table = Table::new();
        table.load_style(UTF8_HORIZONTAL_ONLY);
        table.set_header(["pool", "hosts needed", "owned", "healthy", "draining"]);
        for pool in &self.status.pools {
            table.add_row([
                pool.pool.to_string(),
                pool.needed.to_string(),
                pool.owned.to_string(),
                pool.healthy.to_string(),
                pool.draining.to_string(),
            ]);
        }
        table
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.service_table())?;
        writeln!(f, "{}", self.pool_table())?;
        match self.in_force_after {
            Some(after) => {
                let (note, entries) = (self.status.version, self.status.entries.len());
                let millis = after.as_millis();
                writeln!(
                    f,
                    "note {note} was in force on {entries} entries after {millis} ms"
                )?;
            }
            None => writeln!(f, "note {} is not in force", self.status.version)?,
        }
        match self.violations().as_slice() {
            [] => write!(f, "no guarantee was violated"),
            violations => write!(f, "violations: {violations:?}"),
        }
    }
}
