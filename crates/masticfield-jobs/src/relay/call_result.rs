//! Results of calls to executors.

use serde::{Deserialize, Serialize};

use crate::leader::{CallError, HoldReport};

/// What an executor answered to a call, or why that is not known.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallResult {
    /// Result of an order to start or stop a run: the executor's clock in milliseconds.
    Order(Result<u64, CallError>),
    /// Result of a poll.
    Hold(Result<HoldReport, CallError>),
}

impl CallResult {
    /// Returns the result without its data.
    ///
    /// # Errors
    ///
    /// Fails if the call has failed, for the same reason.
    pub fn outcome(&self) -> Result<(), CallError> {
        match self {
            Self::Order(result) => result.as_ref().map(drop).map_err(|error| *error),
            Self::Hold(result) => result.as_ref().map(drop).map_err(|error| *error),
        }
    }
}
