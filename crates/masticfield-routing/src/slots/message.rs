//! Messages between entries about slots.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::slot::Epoch;
use serde::{Deserialize, Serialize};

/// A datagram about slots. It may be lost, delayed or doubled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SlotMessage {
    /// What an entry holds and wants, to the home of the upstreams.
    Wishes(Vec<SlotWish>),
    /// What an entry may use, from the home of the upstreams.
    Grants(Vec<Grant>),
    /// A home gives up its role.
    Resigned(Vec<Resignation>),
}

/// What an entry holds and wants at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotWish {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Incarnation of the entry that wishes.
    pub sender: Incarnation,
    /// Rises with each wish of the entry for this upstream.
    pub seq: u64,
    /// Highest epoch that the entry has seen.
    pub epoch: Epoch,
    /// Latest stamp of the home that the entry has seen in this epoch.
    pub echo: Option<Duration>,
    /// Number of the latest grant that the entry took over.
    pub taken: u64,
    /// Most requests that the entry may have in flight.
    pub holding: u16,
    /// Slots that the entry has work for.
    pub need: u16,
    /// Slots beyond the need that it would like ahead of demand.
    pub ahead: u16,
    /// Whether the entry is in the availability zone of the upstream.
    pub local: bool,
}

/// Leave of a home to have requests in flight at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Epoch of the home.
    pub epoch: Epoch,
    /// Incarnation of the entry that the grant is for.
    pub receiver: Incarnation,
    /// Time of the home when it sent the grant.
    pub stamp: Duration,
    /// The wish that the grant answers.
    pub answers: u64,
    /// Rises with each grant of the home; 0 for an answer that grants nothing.
    pub number: u64,
    /// How many requests may be in flight.
    pub slots: u16,
    /// How long new requests may be sent, from the sending of the wish.
    pub ttl: Duration,
    /// Longest time that a request sent under the grant may be in flight.
    pub run_limit: Duration,
    /// Whether entries have more work than the upstream has slots.
    pub scarce: bool,
}

/// Notice of a home that it gives up its role at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resignation {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Epoch of the home that resigned.
    pub epoch: Epoch,
    /// Slots that no entry holds.
    pub free: u16,
}
