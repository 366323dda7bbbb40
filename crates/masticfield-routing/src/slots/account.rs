//! What a home knows of one entry.

use std::collections::VecDeque;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::slot::Epoch;

use super::SlotWish;

/// Slots that the entry may be using until a time.
#[derive(Debug, Clone, Copy)]
struct Committed {
    number: u64,
    slots: u16,
    expires: Duration,
}

/// What a home knows of one entry.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) sender: Incarnation,
    pub(super) seq: u64,
    pub(super) voted_until: Duration,
    /// Whether the entry told its holding since the home took office.
    pub(super) heard: bool,
    /// Epoch of the home that the entry followed before this one.
    pub(super) came_from: Epoch,
    pub(super) wished_at: Duration,
    pub(super) need: u16,
    pub(super) ahead: u16,
    pub(super) local: bool,
    pub(super) granted: u16,
    pub(super) scarce: bool,
    committed: VecDeque<Committed>,
}

impl Account {
    pub(super) const fn new(sender: Incarnation) -> Self {
        Self {
            sender,
            seq: 0,
            voted_until: Duration::ZERO,
            heard: false,
            came_from: Epoch::new(0),
            wished_at: Duration::ZERO,
            need: 0,
            ahead: 0,
            local: false,
            granted: 0,
            scarce: false,
            committed: VecDeque::new(),
        }
    }

    /// Slots that the entry may be using at `now`.
    pub(super) fn committed(&self, now: Duration) -> u16 {
        let valid = self.committed.iter().filter(|c| now < c.expires);
        valid.map(|c| c.slots).max().unwrap_or(0)
    }

    /// Replaces the grants that the entry has taken over by what it holds.
    pub(super) fn settle(&mut self, taken: u64, holding: u16, expires: Duration) {
        self.committed.retain(|c| c.number > taken);
        self.committed.push_front(Committed {
            number: taken,
            slots: holding,
            expires,
        });
    }

    /// Adds a grant that the entry may or may not have received.
    pub(super) fn grant(&mut self, number: u64, slots: u16, expires: Duration) {
        self.committed.push_back(Committed {
            number,
            slots,
            expires,
        });
    }

    /// Forgets earlier grants before the entry has taken the latest over.
    pub(super) fn forget_earlier(&mut self) {
        if let Some(last) = self.committed.pop_back() {
            self.committed.clear();
            self.committed.push_back(last);
        }
    }

    /// Drops what has expired.
    pub(super) fn expire(&mut self, now: Duration) {
        self.committed.retain(|c| now < c.expires);
    }

    /// Takes the wish's figures over.
    pub(super) fn note(&mut self, now: Duration, wish: &SlotWish) {
        self.seq = wish.seq;
        self.wished_at = now;
        self.need = wish.need;
        self.ahead = wish.ahead;
        self.local = wish.local;
    }
}
