//! The account that a home keeps of one entry.

use std::collections::VecDeque;
use std::time::Duration;

use masticfield_core::ids::Incarnation;
use masticfield_core::slot::Epoch;

use super::{Renewal, SlotRequest};

/// Slots that the entry may use until they expire.
#[derive(Debug, Clone, Copy)]
struct Committed {
    number: u64,
    slots: u16,
    expires: Duration,
}

/// A slot request that was received in full, and the grant that answered it.
#[derive(Debug, Clone)]
pub(super) struct Base {
    pub(super) request: SlotRequest,
    /// Epoch and number of the grant; `None` without one.
    pub(super) answer: Option<(Epoch, u64)>,
}

/// The latest slot request of an entry and the slots that it may be using.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) sender: Incarnation,
    pub(super) seq: u64,
    pub(super) voted_until: Duration,
    /// Whether the entry has reported the slots that it holds in the home's present term.
    pub(super) reported: bool,
    /// Epoch of the home that the entry followed before this one.
    pub(super) previous_epoch: Epoch,
    pub(super) requested_at: Duration,
    pub(super) demand: u16,
    pub(super) headroom: u16,
    pub(super) local: bool,
    pub(super) granted: u16,
    pub(super) scarce: bool,
    /// Number of the latest grant.
    pub(super) number: u64,
    /// Run limit of the latest grant.
    pub(super) run_limit: Duration,
    /// The request that a renewal repeats.
    pub(super) base: Option<Base>,
    committed: VecDeque<Committed>,
}

impl Account {
    pub(super) const fn new(sender: Incarnation) -> Self {
        Self {
            sender,
            seq: 0,
            voted_until: Duration::ZERO,
            reported: false,
            previous_epoch: Epoch::new(0),
            requested_at: Duration::ZERO,
            demand: 0,
            headroom: 0,
            local: false,
            granted: 0,
            scarce: false,
            number: 0,
            run_limit: Duration::ZERO,
            base: None,
            committed: VecDeque::new(),
        }
    }

    /// Maximum number of slots that the entry may be using at `now`.
    pub(super) fn committed(&self, now: Duration) -> u16 {
        let valid = self.committed.iter().filter(|c| now < c.expires);
        valid.map(|c| c.slots).max().unwrap_or(0)
    }

    /// Replaces the grants up to number `applied` by the slots that the entry reports as held.
    pub(super) fn settle(&mut self, applied: u64, held: u16, expires: Duration) {
        self.committed.retain(|c| c.number > applied);
        self.committed.push_front(Committed {
            number: applied,
            slots: held,
            expires,
        });
    }

    /// Adds a grant, which the entry may or may not receive.
    pub(super) fn add_grant(&mut self, number: u64, slots: u16, expires: Duration) {
        self.committed.push_back(Committed {
            number,
            slots,
            expires,
        });
    }

    /// Drops all grants but the latest, although the entry may not have applied it yet.
    pub(super) fn drop_earlier(&mut self) {
        if let Some(last) = self.committed.pop_back() {
            self.committed.clear();
            self.committed.push_back(last);
        }
    }

    /// Drops the grants that have expired.
    pub(super) fn expire(&mut self, now: Duration) {
        self.committed.retain(|c| now < c.expires);
    }

    /// The request that a renewal stands for; `None` if the entry may have applied another grant.
    pub(super) fn repeated(&self, epoch: Epoch, renewal: &Renewal) -> Option<SlotRequest> {
        let base = self.base.as_ref()?;
        let is_repeated = renewal.bases.iter().any(|b| b.seq == base.request.seq);
        let is_applied = base.answer == Some((epoch, self.number));
        if !is_repeated || !is_applied || renewal.sender != self.sender || renewal.seq <= self.seq {
            return None;
        }
        Some(SlotRequest {
            seq: renewal.seq,
            epoch,
            echo: Some(renewal.echo),
            applied: self.number,
            held: self.granted,
            ..base.request.clone()
        })
    }

    /// Records the demand of a slot request.
    pub(super) fn record(&mut self, now: Duration, request: &SlotRequest) {
        self.seq = request.seq;
        self.requested_at = now;
        self.demand = request.demand;
        self.headroom = request.headroom;
        self.local = request.local;
    }
}
