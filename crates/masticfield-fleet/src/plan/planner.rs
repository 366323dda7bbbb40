//! The planner and its policies.

use std::time::Duration;

use masticfield_core::fleet::Planned;

use super::{Draft, failures, first_fit, maintenance, moves, withdrawals};
use crate::placement;
use crate::reserve::ReservePolicy;
use crate::view::FleetView;

/// Decides the next actions for a fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Planner {
    reserve: ReservePolicy,
    moves: MovePolicy,
    guards: Guards,
    hosts_only: bool,
}

/// How hosts are matched to pools.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum MovePolicy {
    /// A host moves only if a pool lacks one.
    #[default]
    Minimal,
    /// Every plan matches all hosts anew, in the order of their names.
    FirstFit,
}

/// Checks that the planner makes before it acts; all are on but in tests of the tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each guard is switched off alone"
)]
pub struct Guards {
    /// A host is released only on its own word or at the end of its leases.
    pub release_needs_proof: bool,
    /// A planned stop draws only on a budget that covers it.
    pub budget: bool,
    /// Hosts that are on their way to a pool count for it.
    pub count_incoming: bool,
    /// Maintenance waits while failures are not made up for.
    pub pause_maintenance: bool,
    /// A task is placed only where it fits by what is known.
    pub fit: bool,
    /// A task is placed again only after the lease of the last attempt.
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
    /// Creates a planner with a shared reserve and least moves.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets where the reserve is kept.
    #[must_use]
    pub const fn reserve(mut self, policy: ReservePolicy) -> Self {
        self.reserve = policy;
        self
    }

    /// Sets how hosts are matched to pools.
    #[must_use]
    pub const fn moves(mut self, policy: MovePolicy) -> Self {
        self.moves = policy;
        self
    }

    /// Switches checks off, to show that a test finds their absence.
    #[must_use]
    pub const fn guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Leaves maintenance and jobs out.
    #[must_use]
    pub const fn hosts_only(mut self) -> Self {
        self.hosts_only = true;
        self
    }

    /// Where the reserve is kept.
    pub const fn reserve_policy(&self) -> ReservePolicy {
        self.reserve
    }

    /// The next actions, most important first; none on a fleet that matches.
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

/// The next actions by the default [`Planner`], most important first.
pub fn plan(view: &FleetView<'_>, now: Duration) -> Vec<Planned> {
    Planner::new().plan(view, now)
}
