//! Indexed hosts.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Generation, HostHealth, HostObservation, Ownership, Reason};
use masticfield_core::note::{HostSpec, Resources};
use slotmap::new_key_type;

use super::PoolKey;
use crate::view::HostRecord;

new_key_type! {
    /// Key of a host, valid within one index.
    pub struct HostKey;
}

/// Configuration, durable record and latest report of a host.
#[derive(Debug, Clone)]
pub struct Host<'a> {
    /// Name of the host.
    pub name: &'a Arc<str>,
    /// Configured specification; `None` once the host is withdrawn.
    pub spec: Option<&'a HostSpec>,
    /// Durable record; `None` until a pool owns the host for the first time.
    pub record: Option<&'a HostRecord>,
    /// Latest report; `None` until the host is first reported.
    pub report: Option<&'a HostObservation>,
    /// Pool that owns the host, also while the host drains.
    pub pool: Option<PoolKey>,
}

/// Phase of the ownership of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipPhase {
    /// No pool has owned the host yet.
    New,
    /// A pool owns the host.
    Owned,
    /// A pool owns the host, which takes no new work.
    Draining,
    /// The host was owned before and belongs to no pool now.
    Released,
}

impl Host<'_> {
    /// Phase of the ownership according to the durable record.
    pub fn ownership_phase(&self) -> OwnershipPhase {
        match self.record.map(|record| &record.ownership) {
            None => OwnershipPhase::New,
            Some(Ownership::Owned { .. }) => OwnershipPhase::Owned,
            Some(Ownership::Draining { .. }) => OwnershipPhase::Draining,
            Some(Ownership::Released { .. }) => OwnershipPhase::Released,
        }
    }

    /// Generation of the current or last ownership; 0 for a new host.
    pub fn generation(&self) -> Generation {
        self.record.map_or(Generation::default(), |record| {
            record.ownership.generation()
        })
    }

    /// Whether the latest report says that the host is healthy.
    pub fn is_healthy(&self) -> bool {
        self.report
            .is_some_and(|report| report.health == HostHealth::Healthy)
    }

    /// Whether the latest report says that the host has failed; `false` without a report.
    pub fn is_failed(&self) -> bool {
        self.report
            .is_some_and(|report| report.health == HostHealth::Failed)
    }

    /// Whether the host is configured, healthy and available to any pool.
    pub fn is_free(&self) -> bool {
        let free = matches!(
            self.ownership_phase(),
            OwnershipPhase::New | OwnershipPhase::Released
        );
        free && self.spec.is_some() && self.is_healthy()
    }

    /// Whether the host is configured, owned and not failed.
    pub fn is_serving(&self) -> bool {
        self.ownership_phase() == OwnershipPhase::Owned && self.spec.is_some() && !self.is_failed()
    }

    /// Whether the host has reported that it holds no lease of its current generation.
    pub fn is_drained(&self) -> bool {
        let drained = self.report.and_then(|report| report.drained);
        drained.is_some_and(|drained| drained >= self.generation())
    }

    /// Why the host drains; `None` unless it is draining, or if the reason is unknown.
    pub fn drain_reason(&self) -> Option<&Reason> {
        self.record.and_then(|record| record.drain_reason.as_ref())
    }

    /// Whether the host is draining or rebooting for maintenance.
    pub fn is_in_maintenance(&self) -> bool {
        let due = matches!(self.drain_reason(), Some(Reason::MaintenanceDue { .. }));
        due && self.ownership_phase() == OwnershipPhase::Draining
    }

    /// Time for which the host has not been reported healthy; zero without a report.
    pub fn silent_for(&self) -> Duration {
        self.report
            .map_or(Duration::ZERO, |report| report.silent_for)
    }

    /// Time since `programme` last completed on the host; [`Duration::MAX`] if it never did.
    pub fn time_since_maintenance(&self, programme: &str, now: Duration) -> Duration {
        let last = self
            .record
            .and_then(|record| record.last_maintained.get(programme));
        last.map_or(Duration::MAX, |last| now.saturating_sub(*last))
    }

    /// When a programme last completed on the host, since the Unix epoch.
    pub fn last_maintained_at(&self) -> Option<Duration> {
        self.record
            .and_then(|record| record.last_maintained.values().max().copied())
    }

    /// Total resources; `None` once the host is withdrawn.
    pub fn capacity(&self) -> Option<Resources> {
        self.spec.map(HostSpec::capacity)
    }

    /// Region, availability zone and rack; `None` once the host is withdrawn.
    pub fn location(&self) -> Option<(&str, &str, &str)> {
        self.spec
            .map(|spec| (&*spec.region, &*spec.zone, &*spec.rack))
    }
}
