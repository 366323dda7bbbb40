//! The planner, its policies and its guards.

use std::time::Duration;

use masticfield_core::fleet::Planned;

use super::{Draft, failures, first_fit, maintenance, moves, withdrawals};
use crate::placement;
use crate::reserve::ReservePolicy;
use crate::view::FleetView;

/// Plans the next actions for a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Planner {
    reserve: ReservePolicy,
    moves: MovePolicy,
    guards: Guards,
    hosts_only: bool,
}

/// How hosts are assigned to pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MovePolicy {
    /// A host moves only if a pool is short of hosts or needs cover for maintenance.
    #[default]
    Minimal,
    /// Every plan assigns all usable hosts anew, in the order of their names; a baseline.
    FirstFit,
}

/// Safety checks of the planner.
///
/// All are enabled in production. Tests disable single guards to show that they notice the
/// violation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is disabled on its own"
)]
pub struct Guards {
    /// A host is released only once it reports that it is drained or its leases have expired.
    pub release_needs_proof: bool,
    /// A planned outage or a loan needs surplus hosts or enough availability budget.
    pub budget: bool,
    /// Hosts that are moving to a pool count towards its expected hosts.
    pub count_incoming: bool,
    /// Maintenance is paused while failed hosts are not replaced.
    pub pause_maintenance: bool,
    /// A task is placed only on a host with enough free capacity.
    pub fit: bool,
    /// A task is placed again only after the lease of its last attempt has expired.
    pub task_lease: bool,
}

impl Default for Guards {
    fn default() -> Self {
        Self {
            release_needs_proof: true,
            budget: true,
            count_incoming: true,
            pause_maintenance: true,
            fit: true,
            task_lease: true,
        }
    }
}

impl Planner {
    /// Creates a planner with a shared reserve, minimal moves and all guards.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets which pools hold the reserve.
    #[must_use]
    pub const fn reserve(mut self, policy: ReservePolicy) -> Self {
        self.reserve = policy;
        self
    }

    /// Sets how hosts are assigned to pools.
    #[must_use]
    pub const fn moves(mut self, policy: MovePolicy) -> Self {
        self.moves = policy;
        self
    }

    /// Sets the guards; for tests only.
    #[must_use]
    pub const fn guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Excludes maintenance and job placement from plans.
    #[must_use]
    pub const fn hosts_only(mut self) -> Self {
        self.hosts_only = true;
        self
    }

    /// Which pools hold the reserve.
    pub const fn reserve_policy(&self) -> ReservePolicy {
        self.reserve
    }

    /// Plans the next actions at `now`, most important first.
    ///
    /// The plan is empty if the fleet matches its configuration.
    pub fn plan(&self, view: &FleetView<'_>, now: Duration) -> Vec<Planned> {
        let mut draft = Draft::new(view, now, self.reserve, self.guards);
        failures::plan(&mut draft);
        withdrawals::plan(&mut draft);
        match self.moves {
            MovePolicy::Minimal => moves::repair(&mut draft),
            MovePolicy::FirstFit => first_fit::plan(&mut draft),
        }
        if !self.hosts_only {
            maintenance::plan(&mut draft);
        }
        if self.moves == MovePolicy::Minimal {
            moves::fill_reserve(&mut draft);
        }
        if !self.hosts_only {
            placement::plan(&mut draft);
        }
        draft.into_planned()
    }
}

/// Plans the next actions at `now` with the default [`Planner`], most important first.
pub fn plan(view: &FleetView<'_>, now: Duration) -> Vec<Planned> {
    Planner::new().plan(view, now)
}
