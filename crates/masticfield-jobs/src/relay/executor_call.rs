//! Calls to executors.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{CallResult, EXECUTOR_TIMEOUT};
use crate::job::RunId;
use crate::leader::{Call, CallError, Event};
use crate::state::ExecutorKey;

/// A call of the leader to an executor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExecutorCall {
    /// The executor.
    pub executor: ExecutorKey,
    /// Identifier of the executor; one with another identifier at the address rejects the call.
    pub id: Arc<str>,
    /// Host and port of the executor.
    pub address: Arc<str>,
    /// Term of the leader.
    pub term: u64,
    /// The leader's monotonic time when it decided to make the call.
    pub decided: Duration,
    /// What the executor is asked to do.
    pub call: Call,
}

/// A call on its way through a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedCall {
    /// Number under which the relay returns the result; unique within a leadership.
    pub number: u64,
    /// The call.
    pub call: ExecutorCall,
}

/// What remains to be known of a call until its result arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallTag {
    executor: ExecutorKey,
    kind: CallKind,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallKind {
    Start(RunId),
    Stop(RunId),
    /// Monotonic time at which the poll was sent.
    Hold(Duration),
}

impl ExecutorCall {
    /// Returns the fence of the call: its executor rejects calls with a lower one than it has seen.
    ///
    /// An identifier does not tell incarnations apart, so that calls for a former one reach the next.
    /// The key of the next one is higher, and so is the fence of each call for it.
    pub const fn fence(&self) -> u64 {
        self.term << u32::BITS | self.executor.0 as u64
    }

    /// Returns what is needed to report the call's result.
    pub const fn tag(&self) -> CallTag {
        CallTag::new(self.executor, &self.call)
    }

    /// Returns the time within which the executor answers once it has the call.
    pub fn timeout(&self) -> Duration {
        match &self.call {
            Call::Hold { wait, .. } => *wait + EXECUTOR_TIMEOUT,
            Call::Start { .. } | Call::Stop { .. } => EXECUTOR_TIMEOUT,
        }
    }
}

impl CallTag {
    /// Creates the tag of a call.
    pub const fn new(executor: ExecutorKey, call: &Call) -> Self {
        let kind = match call {
            Call::Start { run, .. } => CallKind::Start(*run),
            Call::Stop { run } => CallKind::Stop(*run),
            Call::Hold { sent, .. } => CallKind::Hold(*sent),
        };
        Self { executor, kind }
    }

    /// Returns the executor that is called.
    pub const fn executor(self) -> ExecutorKey {
        self.executor
    }

    /// Returns the name of the kind of call that is used in metrics.
    pub const fn name(self) -> &'static str {
        match self.kind {
            CallKind::Start(_) => "start",
            CallKind::Stop(_) => "stop",
            CallKind::Hold(_) => "hold",
        }
    }

    /// Returns the result of a call of this kind that has failed.
    pub const fn failed(self, error: CallError) -> CallResult {
        match self.kind {
            CallKind::Start(_) | CallKind::Stop(_) => CallResult::Order(Err(error)),
            CallKind::Hold(_) => CallResult::Hold(Err(error)),
        }
    }

    /// Returns the event that reports the result to the leader.
    ///
    /// A result of another kind than the call's counts as not known.
    pub fn event(self, result: CallResult) -> Event {
        let executor = self.executor;
        match (self.kind, result) {
            (CallKind::Start(run), CallResult::Order(result)) => Event::StartResult {
                executor,
                run,
                result,
            },
            (CallKind::Stop(run), CallResult::Order(result)) => Event::StopResult {
                executor,
                run,
                result,
            },
            (CallKind::Hold(sent), CallResult::Hold(result)) => Event::HoldResult {
                executor,
                sent,
                result,
            },
            _ => self.unanswered(),
        }
    }

    /// Returns the event that reports that the result is not known.
    pub fn unanswered(self) -> Event {
        self.event(self.failed(CallError::Unknown))
    }
}
