//! Experiment `state`: cost and recovery time of the replicated state.
//!
//! Three replicas run in this process and communicate over loopback. Each has a data directory on
//! a real disk and applies commands to the state of the control process. The sync rate of the same
//! disk is measured in the same run. Processor time is reported per replica, memory for the whole
//! process with all three replicas.

mod disk;
mod error;
mod group;
mod in_force;
mod load;
mod node;
mod run;

use crate::experiment::Experiment;

pub use in_force::in_force_ms;

inventory::submit! {
    Experiment {
        name: "state",
        about: "Commits, claims, failover, catch-up and idle cost of three replicas with real disks",
        run: run::run,
    }
}
