//! A request as the router sees it, and what becomes of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{Incarnation, UpstreamKey, WaiterKey};
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use slotmap::new_key_type;

use crate::slots::SlotMessage;
use masticfield_core::ids::EntryId;

new_key_type! {
    /// Key of a dispatch that has not finished.
    pub struct DispatchKey;
}

/// What the router needs to know of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name of the service.
    pub service: Arc<str>,
    /// Who asks; the unit of fairness.
    pub caller: Arc<str>,
    /// The availability zone that is preferred; the entry's own if not given.
    pub zone: Option<Arc<str>>,
    /// Time left for the answer; at most, and by default, the deadline of the service.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Leave to send a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Key to finish the dispatch with.
    pub key: DispatchKey,
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Where to send the request.
    pub address: SocketAddr,
    /// When the exchange must be over, in the router's time.
    pub due: Duration,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// The final answer to a request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why it did not run.
    pub reason: NotRunReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// What to do with a request that was just admitted or refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send it now.
    Run(Dispatch),
    /// Hold it until a [`RouterAction`] names the key.
    Wait(WaiterKey),
    /// Answer the caller at once.
    Refuse(Refusal),
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The whole answer arrived.
    Answered {
        /// Whether the answer tells of a fault of the upstream, such as a 5xx status.
        faulty: bool,
    },
    /// The upstream proved that it did not start the request.
    Refused,
    /// No byte of the request reached the upstream.
    NotSent,
    /// The entry decided not to send it, for instance because its claim was denied.
    Withdrawn(NotRunReason),
    /// It was sent and no whole answer came.
    Lost(UnknownReason),
}

/// What to do after a dispatch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Tell the caller the outcome.
    Done(Outcome),
    /// Send the request again, elsewhere.
    Run(Dispatch),
    /// Hold the request until a [`RouterAction`] names the key.
    Wait(WaiterKey),
}

/// Something that the entry carries out for the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterAction {
    /// Send a waiting request now.
    Run(WaiterKey, Dispatch),
    /// Tell the caller of a waiting request the outcome at once.
    Done(WaiterKey, Outcome),
    /// Send a message to another entry; it may get lost.
    Send(EntryId, SlotMessage),
}
