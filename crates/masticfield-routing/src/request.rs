//! Requests as the router sees them, and its decisions about them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation, UpstreamKey, WaiterKey};
use masticfield_core::outcome::{NotRunReason, Outcome, UnknownReason};
use slotmap::new_key_type;

use crate::slots::SlotMessage;

new_key_type! {
    /// Key of a dispatch in flight.
    pub struct DispatchKey;
}

/// The properties of a caller's request that the router decides on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the caller, among which fairness is kept.
    pub caller: Arc<str>,
    /// Preferred availability zone; `None` stands for the entry's own.
    pub zone: Option<Arc<str>>,
    /// Time left for the answer; at most, and by default, the deadline of the service.
    pub deadline: Option<Duration>,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Permission to send a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Key for [`Router::finish`](crate::router::Router::finish).
    pub key: DispatchKey,
    /// Key of the upstream in the router.
    pub upstream: UpstreamKey,
    /// Identifier of the upstream.
    pub id: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Address to which the request is sent.
    pub address: SocketAddr,
    /// Time at which the exchange must have ended, on the router's clock.
    pub due: Duration,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

/// The final answer to a request that did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request did not run.
    pub reason: NotRunReason,
    /// Time after which the caller may try again.
    pub retry_after: Duration,
}

/// Decision about a request on its arrival.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Send the request now.
    Run(Dispatch),
    /// Keep the request until a [`RouterAction`] names the key.
    Wait(WaiterKey),
    /// Answer the caller at once.
    Refuse(Refusal),
}

/// How a dispatch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The whole response arrived.
    Answered {
        /// Whether the response shows a fault of the upstream, such as a 5xx status.
        faulty: bool,
    },
    /// The upstream refused the request and proved that it did not start it.
    Refused,
    /// No byte of the request reached the upstream.
    NotSent,
    /// The entry decided not to send the request, for instance because its deadline had passed.
    Withdrawn(NotRunReason),
    /// The request was sent and no whole response arrived.
    Lost(UnknownReason),
}

/// Decision about a request after one of its dispatches ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Give the caller the outcome.
    Done(Outcome),
    /// Send the request again now.
    Run(Dispatch),
    /// Keep the request until a [`RouterAction`] names the key.
    Wait(WaiterKey),
}

/// An action that the entry carries out for the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouterAction {
    /// Send a waiting request now.
    Run(WaiterKey, Dispatch),
    /// Give the caller of a waiting request the outcome now.
    Done(WaiterKey, Outcome),
    /// Send a message to another entry; it may be lost.
    Send(EntryId, SlotMessage),
}
