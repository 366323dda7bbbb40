//! A host as the planner sees it.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Generation, HostHealth, HostObservation, Ownership, Reason};
use masticfield_core::note::{HostSpec, Resources};
use slotmap::new_key_type;

use super::PoolKey;
use crate::view::HostRecord;

new_key_type! {
    /// Key of a host within an index.
    pub struct HostKey;
}

/// Everything known of a host.
#[derive(Debug, Clone)]
pub struct Host<'a> {
    /// Its name.
    pub name: &'a Arc<str>,
    /// Its declaration; none once it is withdrawn.
    pub spec: Option<&'a HostSpec>,
    /// Its durable record; none before it is owned for the first time.
    pub record: Option<&'a HostRecord>,
    /// Its latest report; none before the first.
    pub report: Option<&'a HostObservation>,
    /// The pool that it belongs to.
    pub pool: Option<PoolKey>,
}

/// Where a host is in the course of its ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipPhase {
    /// No pool has owned it yet.
    New,
    /// A pool owns it.
    Owned,
    /// It takes no new work.
    Draining,
    /// It belongs to no pool.
    Released,
}

impl Host<'_> {
    /// Where the host is in the course of its ownership.
    pub fn ownership_phase(&self) -> OwnershipPhase {
        match self.record.map(|record| &record.ownership) {
            None => OwnershipPhase::New,
            Some(Ownership::Owned { .. }) => OwnershipPhase::Owned,
            Some(Ownership::Draining { .. }) => OwnershipPhase::Draining,
            Some(Ownership::Released { .. }) => OwnershipPhase::Released,
        }
    }

    /// The generation of its current or last owner; 0 for a new host.
    pub fn generation(&self) -> Generation {
        self.record.map_or(Generation::default(), |record| {
            record.ownership.generation()
        })
    }

    /// Whether the host reports that it works.
    pub fn is_healthy(&self) -> bool {
        self.report
            .is_some_and(|seen| seen.health == HostHealth::Healthy)
    }

    /// Whether the host is known to have failed; an unseen host is not.
    pub fn is_failed(&self) -> bool {
        self.report
            .is_some_and(|seen| seen.health == HostHealth::Failed)
    }

    /// Whether a pool may own the host next.
    pub fn is_free(&self) -> bool {
        let free = matches!(
            self.ownership_phase(),
            OwnershipPhase::New | OwnershipPhase::Released
        );
        free && self.spec.is_some() && self.is_healthy()
    }

    /// Whether the host carries work of its pool.
    pub fn is_serving(&self) -> bool {
        self.ownership_phase() == OwnershipPhase::Owned && self.spec.is_some() && !self.is_failed()
    }

    /// Whether the host has said that no lease of its generation is left on it.
    pub fn is_drained(&self) -> bool {
        let drained = self.report.and_then(|seen| seen.drained);
        drained.is_some_and(|drained| drained >= self.generation())
    }

    /// Why the host drains, if it does.
    pub fn drain_reason(&self) -> Option<&Reason> {
        self.record.and_then(|record| record.drain_reason.as_ref())
    }

    /// Whether the host is out for maintenance.
    pub fn is_in_maintenance(&self) -> bool {
        let due = matches!(self.drain_reason(), Some(Reason::MaintenanceDue { .. }));
        due && self.ownership_phase() == OwnershipPhase::Draining
    }

    /// Time since the last report.
    pub fn silent_for(&self) -> Duration {
        self.report.map_or(Duration::ZERO, |seen| seen.silent_for)
    }

    /// Time since a programme last maintained it; the longest time if it never did.
    pub fn time_since_maintenance(&self, programme: &str, now: Duration) -> Duration {
        let at = self
            .record
            .and_then(|record| record.last_maintained.get(programme));
        at.map_or(Duration::MAX, |at| now.saturating_sub(*at))
    }

    /// When any programme last maintained it.
    pub fn last_maintained_at(&self) -> Option<Duration> {
        self.record
            .and_then(|record| record.last_maintained.values().max().copied())
    }

    /// What the host has.
    pub fn capacity(&self) -> Option<Resources> {
        let spec = self.spec?;
        let (cores, memory) = (spec.cores, spec.memory_gb);
        Some(Resources::new(
            cores.saturating_mul(1_000),
            memory.saturating_mul(1_024),
            spec.accelerators,
        ))
    }

    /// Region, availability zone and rack.
    pub fn location(&self) -> Option<(&str, &str, &str)> {
        self.spec
            .map(|spec| (&*spec.region, &*spec.zone, &*spec.rack))
    }
}
