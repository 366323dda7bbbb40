//! Events of the simulation, and their queue.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use masticfield_core::ids::EntryId;
use masticfield_routing::request::{DispatchKey, DispatchOutcome};
use masticfield_routing::slots::SlotMessage;

/// Event of the simulation; services and executors are identified by index.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// The next request of a service arrives.
    RequestArrives(usize),
    /// A dispatch arrives at its executor.
    DispatchArrives(EntryId, DispatchKey),
    /// An executor finishes the run of a dispatch.
    RunFinishes(EntryId, DispatchKey),
    /// An entry learns the outcome of a dispatch.
    DispatchEnds(EntryId, DispatchKey, DispatchOutcome),
    /// The router of an entry has to be ticked.
    Tick(EntryId),
    /// A slot message from the first entry arrives at the second.
    MessageArrives(EntryId, EntryId, SlotMessage),
    /// An entry fails without notice.
    EntryFails(EntryId),
    /// The other entries detect the failure of an entry.
    EntryFailureDetected(EntryId),
    /// All upstreams of an availability zone fail without notice.
    ZoneFails(&'static str),
    /// The announcements of the upstreams of an availability zone expire.
    ZoneExpires(&'static str),
    /// An upstream starts to leave.
    UpstreamLeaves(usize),
    /// An entry receives the announcement that an upstream is leaving.
    LeavingReceived(EntryId, usize),
}

/// Queue that returns events by time; events of equal time in the order they were pushed.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    last_number: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, time: Duration, event: Event) {
        self.last_number += 1;
        self.heap.push(Reverse((time, self.last_number)));
        self.events.insert(self.last_number, event);
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse((time, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        Some((time, event))
    }
}
