//! The replicated state as a whole.

use masticfield_core::config::FleetConfig;
use serde::{Deserialize, Serialize};

use crate::{ClaimTable, Command, Envelope, History, NoteLog, Reply};

/// The state that every control replica holds.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    applied: u64,
    notes: NoteLog,
    claims: ClaimTable,
    history: History,
}

impl State {
    /// Creates the state before the first command.
    pub fn new() -> Self {
        Self::default()
    }

    /// Index of the last command applied.
    pub const fn applied(&self) -> u64 {
        self.applied
    }

    /// The configuration of the latest accepted note.
    pub const fn config(&self) -> &FleetConfig {
        self.notes.config()
    }

    /// The accepted notes.
    pub const fn notes(&self) -> &NoteLog {
        &self.notes
    }

    /// The claims.
    pub const fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// What was done and why.
    pub const fn history(&self) -> &History {
        &self.history
    }

    /// Applies the command at `index`.
    ///
    /// A command at an index that was applied before changes nothing.
    pub fn apply(&mut self, index: u64, envelope: &Envelope) -> Reply {
        if index <= self.applied {
            return Reply::Nothing;
        }
        self.applied = index;
        match envelope.command() {
            Command::Nothing => Reply::Nothing,
            Command::Note(note) => {
                let reply = self.notes.accept(note);
                if let Ok(accepted) = &reply
                    && !accepted.repeated
                {
                    let event = format!("note {} accepted", note.number);
                    self.history
                        .record(index, envelope.at_ms(), &event, &note.summary);
                }
                Reply::Note(reply)
            }
            Command::Claims(claims) => {
                let now_s = envelope.at_ms() / 1_000;
                Reply::Claims(
                    claims
                        .iter()
                        .map(|claim| self.claims.claim(now_s, claim))
                        .collect(),
                )
            }
            Command::Ends(ends) => {
                for (key, request, end) in ends {
                    self.claims.end(*key, *request, *end);
                }
                Reply::Nothing
            }
        }
    }
}
