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
    Arrival(usize),
    /// A dispatch reaches its executor.
    Reaches(EntryId, DispatchKey),
    /// An executor has run a dispatch to its end.
    Ran(EntryId, DispatchKey),
    /// The end of a dispatch is known to its entry.
    Ends(EntryId, DispatchKey, DispatchOutcome),
    /// An entry has something due.
    Tick(EntryId),
    /// A message about slots arrives.
    Message(EntryId, EntryId, SlotMessage),
    /// An entry loses its power.
    EntryLost(EntryId),
    /// The other entries have noticed the loss.
    EntryMissed(EntryId),
    /// An availability zone of upstreams loses its power.
    ZoneLost(&'static str),
    /// The time to live of the upstreams of the zone has run out.
    ZoneExpired(&'static str),
    /// An upstream begins to leave.
    Leaves(usize),
    /// An entry hears that an upstream leaves.
    HearsLeaving(EntryId, usize),
}

/// Events in the order of time; those of one time in the order of their scheduling.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    number: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.number += 1;
        self.heap.push(Reverse((at, self.number)));
        self.events.insert(self.number, event);
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, number)) = self.heap.pop()?;
        let event = self.events.remove(&number)?;
        Some((at, event))
    }
}
