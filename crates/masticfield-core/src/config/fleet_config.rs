//! The configuration at one version.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::error::{InvalidSnafu, NumberNotRisingSnafu, StaleBaseSnafu};
use super::named::apply_sections;
use super::{NoteError, NoteProblem, validate};
use crate::note::{
    HostSpec, JobSpec, MaintenanceSpec, PoolSpec, ReleaseNote, ServiceSpec, TeamSpec,
};

/// The objects that the accepted release notes declare, by name.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetConfig {
    pub(super) version: u64,
    pub(super) hosts: BTreeMap<Arc<str>, HostSpec>,
    pub(super) pools: BTreeMap<Arc<str>, PoolSpec>,
    pub(super) services: BTreeMap<Arc<str>, ServiceSpec>,
    pub(super) teams: BTreeMap<Arc<str>, TeamSpec>,
    pub(super) jobs: BTreeMap<Arc<str>, JobSpec>,
    pub(super) maintenance: BTreeMap<Arc<str>, MaintenanceSpec>,
}

impl FleetConfig {
    /// Returns the number of the latest applied note; 0 before the first.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the hosts by name.
    pub const fn hosts(&self) -> &BTreeMap<Arc<str>, HostSpec> {
        &self.hosts
    }

    /// Returns the pools by name.
    pub const fn pools(&self) -> &BTreeMap<Arc<str>, PoolSpec> {
        &self.pools
    }

    /// Returns the services by name.
    pub const fn services(&self) -> &BTreeMap<Arc<str>, ServiceSpec> {
        &self.services
    }

    /// Returns the teams by name.
    pub const fn teams(&self) -> &BTreeMap<Arc<str>, TeamSpec> {
        &self.teams
    }

    /// Returns the jobs by name.
    pub const fn jobs(&self) -> &BTreeMap<Arc<str>, JobSpec> {
        &self.jobs
    }

    /// Returns the maintenance programmes by name.
    pub const fn maintenance(&self) -> &BTreeMap<Arc<str>, MaintenanceSpec> {
        &self.maintenance
    }

    /// Returns the configuration that results from applying `note`.
    ///
    /// # Errors
    ///
    /// Fails if the note does not build on this version, if its number is not above this version,
    /// or if the resulting configuration is inconsistent. All inconsistencies are listed.
    pub fn apply(&self, note: &ReleaseNote) -> Result<Self, NoteError> {
        let (number, builds_on) = (note.number, note.builds_on);
        if builds_on != self.version {
            return StaleBaseSnafu {
                number,
                builds_on,
                in_force: self.version,
            }
            .fail();
        }
        if number <= builds_on {
            return NumberNotRisingSnafu { number, builds_on }.fail();
        }
        let (next, problems) = self.merge(note);
        if problems.is_empty() {
            Ok(next)
        } else {
            InvalidSnafu { problems }.fail()
        }
    }

    /// Returns the configuration with the objects of `note`, and every inconsistency in it.
    ///
    /// Unlike [`apply`](Self::apply), the version that the note builds on is not checked.
    pub fn merge(&self, note: &ReleaseNote) -> (Self, Vec<NoteProblem>) {
        let mut problems = Vec::new();
        let mut next = self.clone();
        next.version = note.number;
        macro_rules! apply {
            ($($kind:ident),*) => {
                $(apply_sections(
                    &mut next.$kind,
                    &note.added.$kind,
                    &note.changed.$kind,
                    &note.withdrawn.$kind,
                    &mut problems,
                );)*
            };
        }
        apply!(hosts, pools, services, teams, jobs, maintenance);
        validate::check(&next, &mut problems);
        (next, problems)
    }
}
