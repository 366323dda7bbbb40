//! The event queue of the virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use masticfield_core::ids::EntryId;
use masticfield_routing::request::{DispatchKey, DispatchOutcome};
use masticfield_routing::slots::SlotMessage;

/// Something that happens at a time.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// The next request of a service arrives.
    RequestArrives(usize),
    /// A dispatch reaches its executor.
    DispatchArrives(EntryId, DispatchKey),
    /// An executor has run a dispatch to its end.
    RunFinishes(EntryId, DispatchKey),
    /// The end of a dispatch is known to its entry.
    DispatchEnds(EntryId, DispatchKey, DispatchOutcome),
    /// An entry has something due.
    Tick(EntryId),
    /// A message about slots arrives.
    MessageArrives(EntryId, EntryId, SlotMessage),
    /// An entry loses its power.
    EntryFails(EntryId),
    /// The other entries have noticed the loss.
    EntryFailureDetected(EntryId),
    /// An availability zone of upstreams loses its power.
    ZoneFails(&'static str),
    /// The time to live of the upstreams of the zone has run out.
    ZoneExpires(&'static str),
    /// An upstream begins to leave.
    UpstreamLeaves(usize),
    /// An entry hears that an upstream leaves.
    LeavingReceived(EntryId, usize),
}

/// Events in the order of time; those of one time in the order of their scheduling.
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
