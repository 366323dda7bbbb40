//! Decisions of the leading replica.
//!
//! [`Leader::handle`] processes an event. [`Leader::decide`] then returns the commands to commit
//! and the effects to carry out once they are committed. The leader keeps its own copy of the
//! state, to which every proposed command is applied at once; it is dropped when the replica stops
//! leading.

mod access;
mod announce;
mod claim_watch;
mod crashes;
mod decision;
mod event;
mod executor;
mod hold;
mod host;
mod hosts;
mod intake;
mod lapsed;
#[expect(clippy::module_inception, reason = "the file has the type's name")]
mod leader;
mod load_shedding;
mod options;
mod orders;
mod pending_job;
mod placement;
mod plan;
mod pool_stats;
mod pool_view;
mod pools;
mod quarantine;
mod quotas;
mod reads;
mod rebirth;
mod rejected_starts;
mod removed;
mod retirement;
mod shares;
mod track;
mod upkeep;

pub use claim_watch::ClaimWatch;
pub use decision::{Call, Decision, Effect, Refusal, Reply};
pub use event::{
    Announcement, BriefAnnouncement, CallError, Departure, Event, HoldReport, HostError, ListedEnd,
    ListedHost, ListedRun, Moment, Rejection,
};
pub use intake::{JobRequest, JobRequestKind, ReplyId};
pub use leader::Leader;
pub use load_shedding::ShedStats;
#[doc(hidden)]
pub use options::Defect;
pub use options::{HostOptions, LeaderOptions};
pub use pool_stats::PoolStats;
pub use quotas::WorkspaceStats;
pub use reads::read;
