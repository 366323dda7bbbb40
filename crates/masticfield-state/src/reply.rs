//! Replies to commands.

use masticfield_core::claim::ClaimVerdict;
use masticfield_core::operator::{DrainAccepted, NoteAccepted, Problem};

use crate::Verdict;

/// The result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The command has no result, or was applied before.
    Nothing,
    /// The result of [`Command::Note`](crate::Command::Note).
    Note(Result<NoteAccepted, Problem>),
    /// The verdicts of [`Command::Claims`](crate::Command::Claims), in the order of the claims.
    Claims(Vec<ClaimVerdict>),
    /// The verdicts of [`Command::Actions`](crate::Command::Actions), in the order of the actions.
    Actions(Vec<Verdict>),
    /// The verdict on a report, an undrain, a new term, or the registration or removal of an entry.
    Verdict(Verdict),
    /// The result of [`Command::Drain`](crate::Command::Drain).
    Drain(Result<DrainAccepted, Problem>),
}
