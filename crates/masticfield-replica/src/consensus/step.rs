//! Input and output of [`Replica::step`](super::Replica::step).

use std::time::Duration;

use bytes::Bytes;

use super::{Envelope, MembershipChange, MembershipChangeError};
use crate::{Membership, PersistentState, Write};

/// Input of one step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed; heartbeats and elections that are due take place.
    Tick {
        /// Random delay of the election timeouts that follow, if this tick starts an election.
        jitter: Duration,
    },
    /// A message was received; it may come from the replica itself.
    Received(Envelope),
    /// Appends payloads of the application, in this order, if the replica leads.
    Propose(Vec<Bytes>),
    /// Changes the members of the group, if the replica leads.
    Change(MembershipChange),
    /// Replaces the log up to an index by a snapshot of the application.
    Compact {
        /// Index of the last entry that the snapshot includes.
        index: u64,
        /// Encoded state of the application after that entry.
        data: Bytes,
    },
    /// Forms a new group of these members, if the replica holds no state.
    ///
    /// All members must have agreed on the same initial membership.
    Bootstrap(Membership),
    /// Writes of earlier steps failed for lack of space, and none can be made until
    /// [`Event::SpaceAvailable`].
    ///
    /// The caller discards the writes that are not durable and the messages that wait for them.
    /// Of the writes of later steps only the latest hard state has to be stored.
    NoSpace,
    /// Writes can be made again; this is the state that is stored.
    SpaceAvailable(PersistentState),
}

/// What the caller has to do after a step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Output {
    /// Writes to make durable, in this order and after the writes of earlier steps.
    pub writes: Vec<Write>,
    /// Messages to send immediately.
    pub send: Vec<Envelope>,
    /// Messages to send once the writes of this step and of all earlier ones are durable.
    ///
    /// Messages addressed to the replica itself are to be passed back to it.
    pub send_after_sync: Vec<Envelope>,
    /// Entries appended by a proposal or change; `None` if the replica does not lead.
    pub appended: Option<Appended>,
    /// Why a change of the members was refused.
    pub refused: Option<MembershipChangeError>,
}

/// Consecutive entries that a leader appended in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Index of the first entry.
    pub first: u64,
    /// Term of all entries.
    pub term: u64,
}
