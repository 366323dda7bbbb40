//! Slot messages between entries.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::slot::Epoch;
use serde::{Deserialize, Serialize};

/// A datagram of the slot protocol, which may be lost, delayed or duplicated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// Slot requests of the sender to the home of the upstreams.
    Requests(Vec<SlotRequest>),
    /// Grants from the home of the upstreams to the receiver.
    Grants(Vec<Grant>),
    /// The sender steps down as home of the upstreams.
    SteppedDown(Vec<StepDown>),
    /// The sender repeats slot requests to the home of the upstreams.
    Renewal(Renewal),
    /// The home of the upstreams extends the grants that a renewal repeats the requests for.
    Renewed(Renewed),
}

/// The slots that an entry holds and demands at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRequest {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Incarnation of the requesting entry.
    pub sender: Incarnation,
    /// Sequence number of the entry's requests for this upstream.
    pub seq: u64,
    /// Highest epoch that the entry has seen.
    pub epoch: Epoch,
    /// Latest timestamp of the home that the entry has received in this epoch; it is also the
    /// entry's vote for the home.
    pub echo: Option<Duration>,
    /// Number of the latest grant that the entry has applied.
    pub applied: u64,
    /// Maximum number of requests that the entry may have in flight without a further grant.
    pub held: u16,
    /// Slots that the entry has work for.
    pub demand: u16,
    /// Further slots that the entry would hold in reserve.
    pub headroom: u16,
    /// Whether the entry is in the availability zone of the upstream.
    pub local: bool,
}

/// Permission of a home to have requests in flight at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Epoch of the home.
    pub epoch: Epoch,
    /// Incarnation of the receiving entry.
    pub receiver: Incarnation,
    /// Time at which the home sent the grant, on the clock of the home.
    pub timestamp: Duration,
    /// Sequence number of the slot request that the grant answers.
    pub request_seq: u64,
    /// Number of the grant, rising within a home; 0 for an answer that grants nothing yet.
    pub number: u64,
    /// Maximum number of requests in flight.
    pub slots: u16,
    /// How long new requests may be sent, counted from the sending of the slot request.
    pub ttl: Duration,
    /// Maximum time that a request sent under the grant may be in flight.
    pub run_limit: Duration,
    /// Whether the total demand of the entries exceeds the slots of the upstream.
    pub scarce: bool,
}

/// Notice of a home that steps down at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepDown {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Epoch of the home that steps down.
    pub epoch: Epoch,
    /// Slots that no entry holds, which the next home may grant at once.
    pub free: u16,
}

/// Repetition of slot requests whose content has not changed since they were sent in full.
///
/// It stands for one slot request for each upstream of each base, which reports the grant that
/// answered the request of the base as applied, and its slots as held.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// Incarnation of the requesting entry.
    pub sender: Incarnation,
    /// Sequence number of the repeated requests.
    pub seq: u64,
    /// The [`echo`](SlotRequest::echo) of the repeated requests.
    pub echo: Duration,
    /// The requests that are repeated.
    pub bases: Vec<RenewalBase>,
}

/// Slot requests that were sent in full under one sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalBase {
    /// Sequence number under which the requests were sent in full.
    pub seq: u64,
    /// Number of upstreams; the home ignores a renewal unless it knows as many such requests.
    pub count: u16,
}

/// Extension of all grants that a [`Renewal`] reports as applied.
///
/// It stands for one grant for each upstream, with the content of the extended grant. Where that
/// content has changed, a [`Grant`] follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewed {
    /// Incarnation of the receiving entry.
    pub receiver: Incarnation,
    /// Sequence number of the renewal.
    pub request_seq: u64,
    /// Time at which the home sent the extension, on the clock of the home.
    pub timestamp: Duration,
}
