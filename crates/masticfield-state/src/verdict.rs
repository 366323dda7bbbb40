//! Results of state changes.

use serde::{Deserialize, Serialize};

use crate::Refusal;

/// The result of a single change of the state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The state changed.
    Done,
    /// The change had already been made; nothing changed.
    Repeated,
    /// The change does not fit the current state; nothing changed.
    Refused(Refusal),
}
