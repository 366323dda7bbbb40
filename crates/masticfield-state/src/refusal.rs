//! Reasons for refusing a change.

use std::sync::Arc;

use masticfield_core::fleet::Generation;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Why a change does not fit the current state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Snafu, Serialize, Deserialize)]
pub enum Refusal {
    /// The change names another generation than the current one.
    #[snafu(display(
        "the change names generation {}, but the host is at generation {}",
        named.number(),
        current.number()
    ))]
    Stale {
        /// The generation that the change names.
        named: Generation,
        /// The current generation of the host.
        current: Generation,
    },
    /// The host has not been released by its pool.
    #[snafu(display("the host still belongs to pool \"{pool}\""))]
    NotReleased {
        /// The pool that owns the host.
        pool: Arc<str>,
    },
    /// No pool owns the host, or the host is draining.
    #[snafu(display("the host is not in service"))]
    NotOwned,
    /// The host is not draining.
    #[snafu(display("the host is not draining"))]
    NotDraining,
    /// The host may still hold leases of its generation.
    #[snafu(display("the host may still hold leases"))]
    LeasesLeft,
    /// An operator keeps the host drained.
    #[snafu(display("an operator keeps the host drained"))]
    HeldByOperator,
    /// The host is quarantined and accepts no tasks.
    #[snafu(display("the host is quarantined"))]
    Quarantined,
    /// The host is not in the configuration.
    #[snafu(display("the host is not in the configuration"))]
    UnknownHost,
    /// The pool is not in the configuration.
    #[snafu(display("the pool is not in the configuration"))]
    UnknownPool,
    /// The job is not in the configuration.
    #[snafu(display("the job is not in the configuration"))]
    UnknownJob,
    /// The job was given up.
    #[snafu(display("the job was stopped"))]
    JobStopped,
    /// An earlier attempt at the task has not ended.
    #[snafu(display("attempt {attempt} at the task has not ended"))]
    TaskHeld {
        /// The attempt that may still hold resources.
        attempt: u32,
    },
    /// The named attempt is not the latest attempt at the task, or has ended.
    #[snafu(display("the named attempt is stale or has ended; the latest attempt is {attempt}"))]
    StaleAttempt {
        /// The latest attempt at the task.
        attempt: u32,
    },
    /// The task was never placed.
    #[snafu(display("the task is not placed"))]
    NotPlaced,
    /// The command is not from the leader of the current term.
    #[snafu(display("the current term is {term}"))]
    OtherTerm {
        /// The current term.
        term: u64,
    },
}
