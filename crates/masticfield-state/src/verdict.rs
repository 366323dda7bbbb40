//! What a change came to.

use serde::{Deserialize, Serialize};

use crate::Refusal;

/// What a change of the state came to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The state changed.
    Done,
    /// The state was so already.
    Repeated,
    /// The change does not fit the state.
    Refused(Refusal),
}
