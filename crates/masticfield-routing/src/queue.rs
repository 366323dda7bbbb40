//! Queue of the requests that wait for one service.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::WaiterKey;

use crate::options::QueueOrder;

/// Position of a request in a queue; lower positions are dispatched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuePosition {
    rank: u64,
    seq: u64,
}

/// Requests that wait for one service, in the order of their dispatch.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    order: QueueOrder,
    waiters: BTreeMap<QueuePosition, (Arc<str>, WaiterKey)>,
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
        self.waiters.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// The position that a request with deadline `due` gets if it is queued next.
    pub fn next_position(&self, due: Duration) -> QueuePosition {
        let seq = self.seq;
        let rank = match self.order {
            QueueOrder::Fifo => seq,
            QueueOrder::Lifo => u64::MAX - seq,
            QueueOrder::EarliestDeadline => u64::try_from(due.as_micros()).unwrap_or(u64::MAX),
        };
        QueuePosition { rank, seq }
    }

    /// Number of requests before `position`.
    pub fn ahead_of(&self, position: QueuePosition) -> usize {
        let last = self.waiters.keys().next_back();
        if last.is_none_or(|last| *last < position) {
            return self.waiters.len();
        }
        self.waiters.range(..position).count()
    }

    /// Adds a request at a position from [`next_position`](Self::next_position).
    pub fn push(&mut self, position: QueuePosition, caller: Arc<str>, waiter: WaiterKey) {
        *self.callers.entry(Arc::clone(&caller)).or_default() += 1;
        self.seq += 1;
        self.waiters.insert(position, (caller, waiter));
    }

    /// Adds a request that was dispatched before; it precedes all that were not.
    pub fn push_front(&mut self, caller: Arc<str>, waiter: WaiterKey) -> QueuePosition {
        let position = QueuePosition {
            rank: 0,
            seq: self.seq,
        };
        self.push(position, caller, waiter);
        position
    }

    /// The request that is dispatched next, with its position.
    pub fn first(&self) -> Option<(QueuePosition, WaiterKey)> {
        let (position, (_, waiter)) = self.waiters.first_key_value()?;
        Some((*position, *waiter))
    }

    /// Removes the request at `position`, if there is one.
    pub fn remove(&mut self, position: QueuePosition) {
        let Some((caller, _)) = self.waiters.remove(&position) else {
            return;
        };
        if let Some(waiting) = self.callers.get_mut(&caller) {
            *waiting -= 1;
            if *waiting == 0 {
                self.callers.remove(&caller);
            }
        }
    }

    /// The waiting requests in the order of their dispatch.
    pub fn iter(&self) -> impl Iterator<Item = (QueuePosition, WaiterKey)> {
        let waiters = self.waiters.iter();
        waiters.map(|(position, (_, waiter))| (*position, *waiter))
    }
}
