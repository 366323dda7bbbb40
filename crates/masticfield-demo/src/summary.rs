//! The summary of the demo.

use std::fmt;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use masticfield_core::operator::FleetStatus;
use masticfield_fake::upstream::RequestStats;

use crate::load::ServiceReport;

/// What the demo saw.
#[derive(Debug)]
pub struct Summary {
    pub(crate) services: Vec<ServiceReport>,
    pub(crate) status: FleetStatus,
    pub(crate) in_force_after: Option<Duration>,
    pub(crate) stats: RequestStats,
}

/// A property of the brief that was seen broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A caller got an answer that was not its own, or none.
    UntrueAnswer(u64),
    /// A request reached no entry.
    Unreachable(u64),
    /// An executor was sent more requests than it has slots.
    OverSlots(u64),
    /// A request that is not idempotent ran more than once.
    RanTwice(usize),
    /// The note is not in force everywhere.
    NotInForce,
    /// A service got no answer at all.
    Unserved,
}

impl Summary {
    /// The properties that were seen broken.
    pub fn violations(&self) -> Vec<Violation> {
        let sum = |count: fn(&ServiceReport) -> u64| self.services.iter().map(count).sum::<u64>();
        let untrue = sum(|service| service.report.mismatched());
        let unreachable = sum(|service| service.report.unreachable());
        let over_slots = self.stats.over_slots();
        let twice = self.stats.duplicated_keys();
        let unserved = self
            .services
            .iter()
            .any(|service| service.report.answered() == 0);
        let checks = [
            (untrue > 0, Violation::UntrueAnswer(untrue)),
            (unreachable > 0, Violation::Unreachable(unreachable)),
            (over_slots > 0, Violation::OverSlots(over_slots)),
            (twice > 0, Violation::RanTwice(twice)),
            (!self.status.in_force, Violation::NotInForce),
            (unserved || self.services.is_empty(), Violation::Unserved),
        ];
        checks
            .into_iter()
            .filter(|(seen, _)| *seen)
            .map(|(_, broken)| broken)
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
                format!("{:.1} ms", report.latency(0.5).as_secs_f64() * 1e3),
                format!("{:.1} ms", report.latency(0.99).as_secs_f64() * 1e3),
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
            [] => write!(f, "no property was seen broken"),
            broken => write!(f, "broken: {broken:?}"),
        }
    }
}
