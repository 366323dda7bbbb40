//! The experiment `state`: what the replicated state costs and how fast it comes back.
//!
//! Three replicas run in this process over loopback, each with a data folder on a real disk
//! and the state of the control process on top. The rate of syncs of the same disk is measured
//! in the same run. Processor time is given for one replica; the memory is that of the whole
//! process with all three.

mod disk;
mod error;
mod group;
mod load;
mod node;
mod run;

use crate::experiment::Experiment;

inventory::submit! {
    Experiment {
        name: "state",
        about: "Three replicas with real disks: commits, claims, failover, catch-up, idle cost",
        run: run::run,
    }
}
