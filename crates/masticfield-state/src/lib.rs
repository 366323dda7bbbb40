//! Deterministic replicated state of masticfield.
//!
//! Every control replica applies the same [`Command`]s in the same order to a [`State`], and so
//! reaches the same state and computes the same replies. The crate does no I/O and reads neither
//! a clock nor a random source; the time of a command is part of its [`Envelope`].
//!
//! # Examples
//!
//! ```
//! use masticfield_core::note::ReleaseNote;
//! use masticfield_state::{Command, Envelope, Reply, State};
//!
//! let mut state = State::new();
//! let note = ReleaseNote { number: 1, ..ReleaseNote::default() };
//! let reply = state.apply(1, &Envelope::new(0, Command::Note(Box::new(note))));
//! assert!(matches!(reply, Reply::Note(Ok(_))));
//! assert_eq!(state.config().version(), 1);
//!
//! let restored = State::from_snapshot(&state.to_snapshot()?)?;
//! assert_eq!(restored, state);
//! # Ok::<(), masticfield_state::SnapshotError>(())
//! ```

mod actions;
mod claims;
mod command;
mod entry_roster;
mod guard;
mod history;
mod hosts;
pub mod in_force;
mod note_log;
mod refusal;
mod reply;
mod snapshot;
mod state;
mod tasks;
mod verdict;

pub use claims::ClaimTable;
pub use command::{Command, Envelope, LeaderAddresses};
pub use entry_roster::EntryRoster;
pub use guard::{Guard, Guards};
pub use history::{History, ParseSubjectError, Subject};
pub use hosts::{DrainProof, HostRecord, HostStep, HostTable};
pub use note_log::{NoteLog, NoteRecord};
pub use refusal::Refusal;
pub use reply::Reply;
pub use snapshot::SnapshotError;
pub use state::State;
pub use tasks::{Placement, PlacementState, TaskEnd, TaskKey, TaskTable};
pub use verdict::Verdict;
