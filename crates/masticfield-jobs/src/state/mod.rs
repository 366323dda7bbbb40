//! Replicated state of jobs, executors, upkeep and the configuration.
//!
//! Every replica applies the same commands in the same order. A command that no longer fits the
//! state changes nothing.

mod attempts;
mod claim_times;
mod command;
mod crashes;
mod entries;
mod executor;
mod gang_failures;
mod host_claim;
mod job;
mod snapshot;
#[expect(clippy::module_inception, reason = "the file has the type's name")]
mod state;
mod task;
mod wave;
mod workspaces;

pub use attempts::Attempts;
pub use claim_times::ClaimTimes;
pub use command::{Command, EndKind};
pub use crashes::{CrashedRun, RunStart};
pub use entries::encode_entries;
pub use executor::{ExecutorIncarnation, ExecutorKey, ExecutorRecord};
pub use host_claim::HostClaim;
pub use job::{JobPhase, JobRecord, JobStatus};
pub use state::{State, StoredConfig};
pub use task::{OccurrenceRecord, StepRecord, TaskRecord};
pub use wave::{Wave, WaveOrder};
pub use workspaces::ConfigAccess;
