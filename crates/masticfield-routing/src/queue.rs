//! The queue of one service, fair between callers.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::WaiterKey;

use crate::options::QueueOrder;

/// Place of a request in a queue; lower is served earlier.
///
/// The round comes first: the n-th waiting request of a caller is n - 1 rounds behind the
/// request that is served at present, whatever the order within a round.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place {
    round: u64,
    rank: u64,
    seq: u64,
}

/// Requests that wait for one service.
///
/// Each caller is served in turn, so that the wait of one depends on its own requests and on
/// the number of callers, not on how many requests another caller sends.
#[derive(Debug, Clone, Default)]
pub struct FairQueue {
    order: QueueOrder,
    places: BTreeMap<Place, (Arc<str>, WaiterKey)>,
    callers: HashMap<Arc<str>, CallerTurn>,
    round: u64,
    seq: u64,
}

#[derive(Debug, Clone, Copy, Default)]
struct CallerTurn {
    waiting: usize,
    last_round: u64,
}

impl FairQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
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

    /// Number of waiting requests of one caller.
    pub fn waiting_of(&self, caller: &str) -> usize {
        self.callers.get(caller).map_or(0, |turn| turn.waiting)
    }

    /// Number of callers with waiting requests.
    pub fn callers(&self) -> usize {
        self.callers.len()
    }

    /// The place that a request of `caller` due at `due` would get.
    pub fn next_place(&self, caller: &str, due: Duration) -> Place {
        let round = match self.callers.get(caller) {
            Some(turn) => self.round.max(turn.last_round + 1),
            None => self.round,
        };
        let seq = self.seq;
        let rank = match self.order {
            QueueOrder::Fifo => seq,
            QueueOrder::Lifo => u64::MAX - seq,
            QueueOrder::EarliestDeadline => u64::try_from(due.as_micros()).unwrap_or(u64::MAX),
        };
        Place { round, rank, seq }
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
        let turn = self.callers.entry(Arc::clone(&caller)).or_default();
        turn.waiting += 1;
        turn.last_round = turn.last_round.max(place.round);
        self.seq += 1;
        self.places.insert(place, (caller, waiter));
    }

    /// Puts a request back to where it is served next.
    pub fn push_first(&mut self, caller: Arc<str>, waiter: WaiterKey) -> Place {
        let round = self.round.min(self.first_round());
        let seq = self.seq;
        let place = Place {
            round,
            rank: 0,
            seq,
        };
        self.push(place, caller, waiter);
        place
    }

    /// The request that is served next, with its place.
    pub fn first(&self) -> Option<(Place, WaiterKey)> {
        let (place, (_, waiter)) = self.places.first_key_value()?;
        Some((*place, *waiter))
    }

    /// Removes a request that is served now.
    pub fn serve(&mut self, place: Place) {
        self.round = self.round.max(place.round);
        self.remove(place);
    }

    /// Removes a request that is not served.
    pub fn remove(&mut self, place: Place) {
        let Some((caller, _)) = self.places.remove(&place) else {
            return;
        };
        if let Some(turn) = self.callers.get_mut(&caller) {
            turn.waiting -= 1;
            if turn.waiting == 0 {
                self.callers.remove(&caller);
            }
        }
    }

    /// The waiting requests in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = (Place, WaiterKey)> {
        let places = self.places.iter();
        places.map(|(place, (_, waiter))| (*place, *waiter))
    }

    /// The last request of the caller that has the most waiting requests.
    pub fn last_of_largest(&self) -> Option<(Place, WaiterKey, usize)> {
        let (largest, turn) = self
            .callers
            .iter()
            .max_by_key(|(caller, turn)| (turn.waiting, *caller))?;
        let mut places = self.places.iter().rev();
        let (place, (_, waiter)) = places.find(|(_, (caller, _))| caller == largest)?;
        Some((*place, *waiter, turn.waiting))
    }

    fn first_round(&self) -> u64 {
        let first = self.places.keys().next();
        first.map_or(self.round, |place| place.round)
    }
}
