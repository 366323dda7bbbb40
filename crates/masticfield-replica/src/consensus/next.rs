//! Events that a replica takes and what it does next.

use std::time::Duration;

use bytes::Bytes;

use super::{Change, ChangeError, Envelope};
use crate::{Membership, Write};

/// Something that happened to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick {
        /// Random delay before the election after the next.
        jitter: Duration,
    },
    /// A message has come, possibly from the replica itself.
    Received(Envelope),
    /// Payloads are to be appended.
    Propose(Vec<Bytes>),
    /// The members are to change.
    Change(Change),
    /// The application handed up its state up to an index.
    Compact {
        /// The index.
        index: u64,
        /// The state.
        data: Bytes,
    },
    /// Every founder agreed to form a new group.
    Found(Membership),
}

/// What to do after an event.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Next {
    /// Writes to make durable, in this order and after those of earlier steps.
    pub writes: Vec<Write>,
    /// Messages to send now.
    pub send: Vec<Envelope>,
    /// Messages to send once the writes of this step and all earlier ones are durable.
    ///
    /// They may be addressed to the replica itself.
    pub send_synced: Vec<Envelope>,
    /// What was appended for a proposal or change; none if this replica does not lead.
    pub appended: Option<Appended>,
    /// Why a change of the members was refused.
    pub refused: Option<ChangeError>,
}

/// Entries that a leader appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Index of the first.
    pub first: u64,
    /// Their term.
    pub term: u64,
}
