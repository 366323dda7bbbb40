//! Deterministic replicated state of masticfield.
//!
//! Every control replica applies the same [`Command`]s in the same order to a [`State`] and so
//! comes to the same state and the same replies. Nothing here reads a clock, a random source
//! or a socket; the time of a command is part of its [`Envelope`].
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
//! ```

mod claims;
mod command;
mod history;
mod notes;
mod state;

pub use claims::ClaimTable;
pub use command::{Command, Envelope, Reply};
pub use history::History;
pub use notes::NoteLog;
pub use state::State;
