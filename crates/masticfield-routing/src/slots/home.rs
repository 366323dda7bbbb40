//! The home of one upstream's slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::slot::Epoch;

use super::account::Account;
use super::apportion::{Ask, apportion};
use super::rendezvous::score;
use super::{Grant, Resignation, SlotWish};
use crate::guards::{Guard, Guards};

/// Allowance for clocks that run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// Bits of an epoch that name the home, so that no two homes share one.
const ENTRY_BITS: u32 = 16;

/// What stays the same during the life of a [`Home`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeOptions {
    /// The entry that is the home.
    pub me: EntryId,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// How long a grant allows new dispatches.
    pub ttl: Duration,
    /// How long an entry stays with the home that it last heard of.
    pub pledge: Duration,
}

/// The time since which a majority has followed the home.
#[derive(Debug, Clone)]
struct Tenure {
    since: Duration,
    /// Slots that the home has heard of: held by entries that reported, or handed over.
    known: u16,
    handed_over: bool,
}

/// Grants the slots of one upstream to the entries that follow it.
#[derive(Debug, Clone)]
pub struct Home {
    options: HomeOptions,
    guards: Guards,
    slots: u16,
    run_limit: Duration,
    entries: Vec<EntryId>,
    epoch: Epoch,
    first_stamp: Duration,
    number: u64,
    tenure: Option<Tenure>,
    handover: Option<Resignation>,
    accounts: BTreeMap<EntryId, Account>,
}

impl Home {
    /// Creates a home that nobody follows yet.
    pub const fn new(options: HomeOptions, slots: u16, guards: Guards) -> Self {
        Self {
            options,
            guards,
            slots,
            run_limit: Duration::ZERO,
            entries: Vec::new(),
            epoch: Epoch::new(0),
            first_stamp: Duration::ZERO,
            number: 0,
            tenure: None,
            handover: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets all entries of the installation, live or not, of which a majority must follow.
    pub fn set_entries(&mut self, entries: impl Into<Vec<EntryId>>) {
        self.entries = entries.into();
    }

    /// Raises the longest time that a request may be in flight; it never falls.
    pub fn raise_run_limit(&mut self, run_limit: Duration) {
        self.run_limit = self.run_limit.max(run_limit);
    }

    /// The epoch of the home.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether a majority follows the home at `now`.
    pub fn is_in_office(&self, now: Duration) -> bool {
        self.tenure.is_some() && self.has_majority(now)
    }

    /// Takes a wish and returns the grants that follow from it.
    pub fn wish(&mut self, now: Duration, from: EntryId, wish: &SlotWish) -> Vec<(EntryId, Grant)> {
        if self.tenure.is_some() && !self.has_majority(now) && self.guards.has(Guard::Lapse) {
            self.leave_office(now);
        }
        self.raise_epoch(now, wish.epoch);
        if !self.note(now, from, wish) {
            return Vec::new();
        }
        if !self.take_office(now) {
            return vec![(from, self.greeting(now, from))];
        }
        self.inherit(from, wish);
        self.regrant(now, from)
    }

    /// Gives up the role; returns the notice for the followers and the next home.
    pub fn resign(&mut self, now: Duration) -> Option<Resignation> {
        let free = self
            .is_in_office(now)
            .then(|| self.known(now).saturating_sub(self.committed(now)));
        self.leave_office(now);
        Some(Resignation {
            upstream: Arc::clone(&self.options.upstream),
            incarnation: self.options.incarnation,
            epoch: self.epoch,
            free: free?,
        })
    }

    /// Takes the notice of the home before this one.
    pub fn take_over(&mut self, resigned: Resignation) {
        self.handover = Some(resigned);
    }

    fn note(&mut self, now: Duration, from: EntryId, wish: &SlotWish) -> bool {
        let expires = now + self.lifetime();
        let account = self.accounts.entry(from);
        let account = account.or_insert_with(|| Account::new(wish.sender));
        if wish.sender > account.sender {
            *account = Account::new(wish.sender);
        }
        if wish.sender < account.sender || wish.seq <= account.seq {
            return false;
        }
        account.note(now, wish);
        if wish.epoch != self.epoch {
            account.came_from = wish.epoch;
        }
        account.settle(wish.taken, wish.holding, expires);
        account.expire(now);
        if let Some(stamp) = wish.echo
            && wish.epoch == self.epoch
            && stamp >= self.first_stamp
        {
            account.voted_until = stamp + self.options.pledge;
        }
        true
    }

    /// Starts a new epoch if an entry has seen a higher one.
    fn raise_epoch(&mut self, now: Duration, theirs: Epoch) {
        if theirs > self.epoch || self.epoch == Epoch::new(0) {
            let round = (theirs.number() >> ENTRY_BITS) + 1;
            let me = u64::from(self.options.me.number());
            self.leave_office(now);
            self.epoch = Epoch::new((round << ENTRY_BITS) | me);
        }
    }

    fn leave_office(&mut self, now: Duration) {
        self.tenure = None;
        self.first_stamp = now + Duration::from_nanos(1);
        for account in self.accounts.values_mut() {
            account.voted_until = Duration::ZERO;
            account.heard = false;
        }
    }

    /// Whether the home is in office, which it takes as soon as a majority follows it.
    fn take_office(&mut self, now: Duration) -> bool {
        if !self.has_majority(now) {
            return false;
        }
        if self.tenure.is_none() {
            self.tenure = Some(Tenure {
                since: now,
                known: 0,
                handed_over: false,
            });
        }
        self.use_handover();
        true
    }

    fn has_majority(&self, now: Duration) -> bool {
        let voters = self.accounts.values().filter(|a| now < a.voted_until);
        !self.guards.has(Guard::Majority) || voters.count() > self.entries.len() / 2
    }

    /// Counts the slots that the home before this one left free.
    ///
    /// Most entries must come straight from that home, so that none was in office in between.
    fn use_handover(&mut self) {
        let (Some(tenure), Some(resigned)) = (&mut self.tenure, &self.handover) else {
            return;
        };
        let accounts = self.accounts.values();
        let came = accounts.filter(|a| a.came_from == resigned.epoch).count();
        if !tenure.handed_over && came > self.entries.len() / 2 {
            tenure.known += resigned.free;
            tenure.handed_over = true;
        }
    }

    /// Counts the slots that an entry reports for the first time in this tenure.
    fn inherit(&mut self, from: EntryId, wish: &SlotWish) {
        let epoch = self.epoch;
        let (Some(tenure), Some(account)) = (&mut self.tenure, self.accounts.get_mut(&from)) else {
            return;
        };
        let fresh = wish.epoch == epoch && wish.echo.is_some_and(|echo| echo >= tenure.since);
        if fresh && !account.heard {
            account.heard = true;
            tenure.known += wish.holding;
        }
    }

    /// Slots that the home may grant at `now`.
    fn known(&self, now: Duration) -> u16 {
        let Some(tenure) = &self.tenure else {
            return 0;
        };
        if self.has_waited(now) {
            self.slots
        } else {
            tenure.known.min(self.slots)
        }
    }

    /// Whether no slot can be held that the home does not know of.
    fn has_waited(&self, now: Duration) -> bool {
        let Some(tenure) = &self.tenure else {
            return false;
        };
        let waited = !self.guards.has(Guard::WaitOut) || now >= tenure.since + self.lifetime();
        let heard = |entry| self.accounts.get(entry).is_some_and(|a: &Account| a.heard);
        waited || self.entries.iter().all(heard)
    }

    /// Slots that entries may be using.
    fn committed(&self, now: Duration) -> u16 {
        self.accounts.values().map(|a| a.committed(now)).sum()
    }

    /// Time after which a grant has ended with all that ran under it.
    fn lifetime(&self) -> Duration {
        self.options.ttl + self.run_limit + CLOCK_MARGIN
    }

    /// Divides the slots anew; answers `from` and tells the others only of changes.
    fn regrant(&mut self, now: Duration, from: EntryId) -> Vec<(EntryId, Grant)> {
        let followers: Vec<EntryId> = self.followers(now);
        let asks: Vec<Ask> = followers.iter().map(|id| self.ask(*id)).collect();
        let need: u32 = asks.iter().map(|ask| u32::from(ask.need)).sum();
        let scarce = need > u32::from(self.slots);
        let shares = apportion(self.known(now), &asks);
        let mut order: Vec<(EntryId, u16)> = followers.into_iter().zip(shares).collect();
        order.sort_by_key(|(id, share)| *share > self.accounts[id].granted);
        let mut grants = Vec::new();
        if !self.accounts[&from].heard && !self.has_waited(now) {
            grants.push((from, self.greeting(now, from)));
        }
        for (id, share) in order {
            let slots = share.min(self.room(now, id));
            let account = &self.accounts[&id];
            if id == from || slots != account.granted || scarce != account.scarce {
                grants.push((id, self.grant(now, id, slots, scarce)));
            }
        }
        grants
    }

    /// Entries whose latest wish is fresh enough to grant on.
    fn followers(&self, now: Duration) -> Vec<EntryId> {
        let fresh = |a: &Account| now < a.wished_at + self.options.ttl;
        let follows = |a: &Account| now < a.voted_until || !self.guards.has(Guard::Majority);
        let waited = self.has_waited(now);
        let accounts = self.accounts.iter();
        accounts
            .filter(|(_, a)| fresh(a) && follows(a) && (a.heard || waited))
            .map(|(id, _)| *id)
            .collect()
    }

    fn ask(&self, id: EntryId) -> Ask {
        let account = &self.accounts[&id];
        Ask {
            need: account.need,
            ahead: account.ahead,
            local: account.local,
            rank: score(&self.options.upstream, id),
        }
    }

    /// Most slots that can be granted to the entry beside what the others may be using.
    fn room(&self, now: Duration, id: EntryId) -> u16 {
        let others = self.accounts.iter().filter(|(other, _)| **other != id);
        let others: u16 = others.map(|(_, a)| a.committed(now)).sum();
        self.known(now).saturating_sub(others)
    }

    fn grant(&mut self, now: Duration, id: EntryId, slots: u16, scarce: bool) -> Grant {
        self.number += 1;
        let number = self.number;
        let lifetime = self.lifetime();
        let taken_over = self.guards.has(Guard::TakenOver);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.grant(number, slots, account.wished_at + lifetime);
            if !taken_over {
                account.forget_earlier();
            }
            account.granted = slots;
            account.scarce = scarce;
        }
        Grant {
            number,
            slots,
            scarce,
            ..self.greeting(now, id)
        }
    }

    /// An answer that grants nothing but carries epoch and stamp.
    fn greeting(&self, now: Duration, id: EntryId) -> Grant {
        let account = self.accounts.get(&id);
        Grant {
            upstream: Arc::clone(&self.options.upstream),
            incarnation: self.options.incarnation,
            epoch: self.epoch,
            receiver: account.map_or_else(Incarnation::default, |a| a.sender),
            stamp: now.max(self.first_stamp),
            answers: account.map_or(0, |a| a.seq),
            number: 0,
            slots: 0,
            ttl: self.options.ttl,
            run_limit: self.run_limit,
            scarce: false,
        }
    }
}
