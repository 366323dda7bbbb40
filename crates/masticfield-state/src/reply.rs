//! Replies to commands.

use masticfield_core::claim::ClaimVerdict;
use masticfield_core::operator::{DrainAccepted, NoteAccepted, Problem};

use crate::Verdict;

/// What a command came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// It has no result.
    Nothing,
    /// Whether the note was accepted.
    Note(Result<NoteAccepted, Problem>),
    /// The verdicts, in the order of the claims.
    Claims(Vec<ClaimVerdict>),
    /// The verdicts, in the order of the actions.
    Actions(Vec<Verdict>),
    /// The verdict on a report or a change of the term or of an entry.
    Verdict(Verdict),
    /// Whether the host drains.
    Drain(Result<DrainAccepted, Problem>),
}
