//! The queue of one service.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::WaiterKey;

use crate::options::QueueOrder;

/// Place of a request in a queue; lower is served earlier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    rank: u64,
    seq: u64,
}

/// Requests that wait for one service.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    order: QueueOrder,
    places: BTreeMap<Place, (Arc<str>, WaiterKey)>,
    callers: HashMap<Arc<str>, usize>,
    seq: u64,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            seq: 1,
            ..Self::default()
        }
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// The place that a request due at `due` would get.
    pub fn next_place(&self, due: Duration) -> Place {
        let seq = self.seq;
        let rank = match self.order {
            QueueOrder::Fifo => seq,
            QueueOrder::Lifo => u64::MAX - seq,
            QueueOrder::EarliestDeadline => u64::try_from(due.as_micros()).unwrap_or(u64::MAX),
        };
        Place { rank, seq }
    }

    /// Number of requests that would be served before `place`.
    pub fn ahead_of(&self, place: Place) -> usize {
        let last = self.places.keys().next_back();
        if last.is_none_or(|last| *last < place) {
            return self.places.len();
        }
        self.places.range(..place).count()
    }

    /// Adds a request at the place that [`next_place`](Self::next_place) gave.
    pub fn push(&mut self, place: Place, caller: Arc<str>, waiter: WaiterKey) {
        *self.callers.entry(Arc::clone(&caller)).or_default() += 1;
        self.seq += 1;
        self.places.insert(place, (caller, waiter));
    }

    /// Puts a request back to where it is served before those that have not been sent yet.
    pub fn push_first(&mut self, caller: Arc<str>, waiter: WaiterKey) -> Place {
        let place = Place {
            rank: 0,
            seq: self.seq,
        };
        self.push(place, caller, waiter);
        place
    }

    /// The request that is served next, with its place.
    pub fn first(&self) -> Option<(Place, WaiterKey)> {
        let (place, (_, waiter)) = self.places.first_key_value()?;
        Some((*place, *waiter))
    }

    /// Removes a request.
    pub fn remove(&mut self, place: Place) {
        let Some((caller, _)) = self.places.remove(&place) else {
            return;
        };
        if let Some(waiting) = self.callers.get_mut(&caller) {
            *waiting -= 1;
            if *waiting == 0 {
                self.callers.remove(&caller);
            }
        }
    }

    /// The waiting requests in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = (Place, WaiterKey)> {
        let places = self.places.iter();
        places.map(|(place, (_, waiter))| (*place, *waiter))
    }
}
