//! Why an action is not accepted.

use std::sync::Arc;

use masticfield_core::fleet::Generation;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// An action that does not fit the state; it changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Snafu, Serialize, Deserialize)]
pub enum Refusal {
    /// The action names another generation than the current one.
    #[snafu(display(
        "it names generation {}, but the host is at {}",
        named.number(),
        current.number()
    ))]
    Stale {
        /// The generation that the action names.
        named: Generation,
        /// The generation of the host.
        current: Generation,
    },
    /// The host belongs to a pool.
    #[snafu(display("the host still belongs to pool \"{pool}\""))]
    NotReleased {
        /// The pool.
        pool: Arc<str>,
    },
    /// The host is not owned and in service.
    #[snafu(display("the host is not in service"))]
    NotOwned,
    /// The host does not drain.
    #[snafu(display("the host does not drain"))]
    NotDraining,
    /// The host may still hold leases of the generation.
    #[snafu(display("the host may still hold leases"))]
    LeasesLeft,
    /// An operator keeps the host drained.
    #[snafu(display("an operator keeps the host drained"))]
    HeldByOperator,
    /// The host gets no tasks for a while.
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
    /// The job was stopped.
    #[snafu(display("the job was stopped"))]
    JobStopped,
    /// An earlier attempt at the task has not ended.
    #[snafu(display("attempt {attempt} has not ended"))]
    TaskHeld {
        /// The attempt that is placed.
        attempt: u32,
    },
    /// A later attempt at the task was made, or this one has ended.
    #[snafu(display("attempt {attempt} is the latest"))]
    StaleAttempt {
        /// The latest attempt.
        attempt: u32,
    },
    /// The task is not placed.
    #[snafu(display("the task is not placed"))]
    NotPlaced,
    /// The command is not from the leader of the current term.
    #[snafu(display("term {term} leads"))]
    OtherTerm {
        /// The current term.
        term: u64,
    },
}
