//! The home of one upstream's slots.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::slot::Epoch;

use super::account::{Account, Base};
use super::apportion::{EntryDemand, apportion};
use super::rendezvous::score;
use super::{Grant, Renewal, SlotRequest, StepDown};
use crate::guards::{Guard, Guards};

/// Allowance for clocks that run at different rates.
const CLOCK_MARGIN: Duration = Duration::from_millis(50);
/// Low bits of an epoch that hold the number of the home, so that no two homes share an epoch.
const ENTRY_BITS: u32 = 16;

/// Fixed properties of a [`Home`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HomeOptions {
    /// The entry that acts as the home.
    pub entry: EntryId,
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// How long a grant allows new dispatches, counted from the request for it.
    pub ttl: Duration,
    /// How long a vote binds an entry to the home.
    pub vote_ttl: Duration,
}

/// A period in which a majority of the entries votes for the home without a gap.
#[derive(Debug, Clone)]
struct Term {
    since: Duration,
    /// Slots accounted for: reported as held by entries, or handed over as free.
    accounted: u16,
    handed_over: bool,
}

/// When the sender of a slot request gets a grant of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Always,
    /// If it differs from the grant that the sender has applied.
    IfChanged,
}

/// Grants the slots of one upstream to the entries that vote for this home.
#[derive(Debug, Clone)]
pub struct Home {
    options: HomeOptions,
    guards: Guards,
    slots: u16,
    run_limit: Duration,
    entries: Vec<EntryId>,
    epoch: Epoch,
    /// Votes for earlier timestamps do not count.
    first_timestamp: Duration,
    /// Number of the latest grant.
    number: u64,
    term: Option<Term>,
    handover: Option<StepDown>,
    accounts: BTreeMap<EntryId, Account>,
}

impl Home {
    /// Creates a home without votes.
    pub const fn new(options: HomeOptions, slots: u16, guards: Guards) -> Self {
        Self {
            options,
            guards,
            slots,
            run_limit: Duration::ZERO,
            entries: Vec::new(),
            epoch: Epoch::new(0),
            first_timestamp: Duration::ZERO,
            number: 0,
            term: None,
            handover: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets all entries of the installation, live or not, a majority of which must vote.
    pub fn set_entries(&mut self, entries: impl Into<Vec<EntryId>>) {
        self.entries = entries.into();
    }

    /// Raises the maximum time that a request may be in flight; a lower limit has no effect.
    pub fn raise_run_limit(&mut self, run_limit: Duration) {
        self.run_limit = self.run_limit.max(run_limit);
    }

    /// The epoch of the home; 0 before the first slot request.
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether the home is in a term and has a majority at `now`.
    pub fn is_active(&self, now: Duration) -> bool {
        self.term.is_some() && self.has_majority(now)
    }

    /// Processes a slot request and returns the resulting grants, by receiver.
    pub fn handle_request(
        &mut self,
        now: Duration,
        from: EntryId,
        request: &SlotRequest,
    ) -> Vec<(EntryId, Grant)> {
        let grants = self.process(now, from, request, Answer::Always);
        if let Some(account) = self.accounts.get_mut(&from)
            && account.seq == request.seq
            && !grants.is_empty()
        {
            let own = grants.iter().find(|(id, g)| *id == from && g.number > 0);
            account.base = Some(Base {
                request: request.clone(),
                answer: own.map(|(_, grant)| (grant.epoch, grant.number)),
            });
        }
        grants
    }

    /// Sequence number of the base under which a renewal repeats a request to this home.
    ///
    /// `None` if the home does not know the request, or if the entry may have applied another
    /// grant than the one that answered it.
    pub fn repeated_base(&self, from: EntryId, renewal: &Renewal) -> Option<u64> {
        let account = self.accounts.get(&from)?;
        account.repeated(self.epoch, renewal)?;
        account.base.as_ref().map(|base| base.request.seq)
    }

    /// Processes the repeated slot request of a renewal and returns the resulting grants.
    ///
    /// There is none for the sender if the grant that it has applied is extended as it is.
    pub fn handle_renewal(
        &mut self,
        now: Duration,
        from: EntryId,
        renewal: &Renewal,
    ) -> Vec<(EntryId, Grant)> {
        let account = self.accounts.get(&from);
        let request = account.and_then(|account| account.repeated(self.epoch, renewal));
        request.map_or_else(Vec::new, |request| {
            self.process(now, from, &request, Answer::IfChanged)
        })
    }

    fn process(
        &mut self,
        now: Duration,
        from: EntryId,
        request: &SlotRequest,
        answer: Answer,
    ) -> Vec<(EntryId, Grant)> {
        if self.term.is_some() && !self.has_majority(now) && self.guards.has(Guard::Lapse) {
            self.end_term(now);
        }
        self.raise_epoch(now, request.epoch);
        if !self.record(now, from, request) {
            return Vec::new();
        }
        if !self.begin_term(now) {
            return vec![(from, self.empty_grant(now, from))];
        }
        self.account_for(from, request);
        self.redistribute(now, from, answer)
    }

    /// Steps down; returns the notice for the followers and the next home, if there was a term.
    pub fn step_down(&mut self, now: Duration) -> Option<StepDown> {
        let free = self
            .is_active(now)
            .then(|| self.grantable(now).saturating_sub(self.committed(now)));
        self.end_term(now);
        Some(StepDown {
            upstream: Arc::clone(&self.options.upstream),
            incarnation: self.options.incarnation,
            epoch: self.epoch,
            free: free?,
        })
    }

    /// Keeps the notice of the previous home for the next term.
    pub fn accept_handover(&mut self, notice: StepDown) {
        self.handover = Some(notice);
    }

    /// Records a slot request and its vote; returns whether it is newer than those before.
    fn record(&mut self, now: Duration, from: EntryId, request: &SlotRequest) -> bool {
        let expires = now + self.grant_lifetime();
        let account = self.accounts.entry(from);
        let account = account.or_insert_with(|| Account::new(request.sender));
        if request.sender > account.sender {
            *account = Account::new(request.sender);
        }
        if request.sender < account.sender || request.seq <= account.seq {
            return false;
        }
        account.record(now, request);
        if request.epoch != self.epoch {
            account.previous_epoch = request.epoch;
        }
        account.settle(request.applied, request.held, expires);
        account.expire(now);
        if let Some(timestamp) = request.echo
            && request.epoch == self.epoch
            && timestamp >= self.first_timestamp
        {
            account.voted_until = timestamp + self.options.vote_ttl;
        }
        true
    }

    /// Starts a higher epoch if an entry has seen a higher one, or if there is none yet.
    fn raise_epoch(&mut self, now: Duration, seen: Epoch) {
        if seen > self.epoch || self.epoch == Epoch::new(0) {
            let counter = (seen.number() >> ENTRY_BITS) + 1;
            let entry = u64::from(self.options.entry.number());
            self.end_term(now);
            self.epoch = Epoch::new((counter << ENTRY_BITS) | entry);
        }
    }

    /// Ends the term and discards all votes.
    fn end_term(&mut self, now: Duration) {
        self.term = None;
        self.first_timestamp = now + Duration::from_nanos(1);
        for account in self.accounts.values_mut() {
            account.voted_until = Duration::ZERO;
            account.reported = false;
        }
    }

    /// Begins a term if there is none; returns `false` without a majority.
    fn begin_term(&mut self, now: Duration) -> bool {
        if !self.has_majority(now) {
            return false;
        }
        if self.term.is_none() {
            self.term = Some(Term {
                since: now,
                accounted: 0,
                handed_over: false,
            });
        }
        self.apply_handover();
        true
    }

    fn has_majority(&self, now: Duration) -> bool {
        let voters = self.accounts.values().filter(|a| now < a.voted_until);
        !self.guards.has(Guard::Majority) || voters.count() > self.entries.len() / 2
    }

    /// Accounts for the slots that the previous home left free.
    ///
    /// A majority must come directly from that home, which excludes another one in between.
    fn apply_handover(&mut self) {
        let (Some(term), Some(notice)) = (&mut self.term, &self.handover) else {
            return;
        };
        let accounts = self.accounts.values();
        let direct = accounts
            .filter(|a| a.previous_epoch == notice.epoch)
            .count();
        if !term.handed_over && direct > self.entries.len() / 2 {
            term.accounted += notice.free;
            term.handed_over = true;
        }
    }

    /// Accounts for the slots that an entry holds when it first reports them in this term.
    fn account_for(&mut self, from: EntryId, request: &SlotRequest) {
        let epoch = self.epoch;
        let (Some(term), Some(account)) = (&mut self.term, self.accounts.get_mut(&from)) else {
            return;
        };
        let in_term = request.epoch == epoch && request.echo.is_some_and(|echo| echo >= term.since);
        if in_term && !account.reported {
            account.reported = true;
            term.accounted += request.held;
        }
    }

    /// Slots that the home may have granted in total at `now`.
    fn grantable(&self, now: Duration) -> u16 {
        let Some(term) = &self.term else {
            return 0;
        };
        if self.is_complete(now) {
            self.slots
        } else {
            term.accounted.min(self.slots)
        }
    }

    /// Whether all slots are accounted for.
    ///
    /// This is the case once every entry has reported, or all grants from before the term have
    /// ended.
    fn is_complete(&self, now: Duration) -> bool {
        let Some(term) = &self.term else {
            return false;
        };
        let waited = !self.guards.has(Guard::WaitOut) || now >= term.since + self.grant_lifetime();
        let reported = |entry| {
            self.accounts
                .get(entry)
                .is_some_and(|a: &Account| a.reported)
        };
        waited || self.entries.iter().all(reported)
    }

    /// Slots that the entries may be using.
    fn committed(&self, now: Duration) -> u16 {
        self.accounts.values().map(|a| a.committed(now)).sum()
    }

    /// Time after which a grant and all requests sent under it have ended.
    fn grant_lifetime(&self) -> Duration {
        self.options.ttl + self.run_limit + CLOCK_MARGIN
    }

    /// Divides the slots again; grants to `from`, and to the others whose grant changes.
    fn redistribute(
        &mut self,
        now: Duration,
        from: EntryId,
        answer: Answer,
    ) -> Vec<(EntryId, Grant)> {
        let followers: Vec<EntryId> = self.followers(now);
        let demands: Vec<EntryDemand> = followers.iter().map(|id| self.demand_of(*id)).collect();
        let demand: u32 = demands.iter().map(|entry| u32::from(entry.demand)).sum();
        let scarce = demand > u32::from(self.slots);
        let mut grants = Vec::new();
        if !followers.contains(&from) {
            // Without a timestamp to vote for, the entry would never become a follower.
            grants.push((from, self.empty_grant(now, from)));
        }
        let shares = apportion(self.grantable(now), &demands);
        let mut order: Vec<(EntryId, u16)> = followers.into_iter().zip(shares).collect();
        order.sort_by_key(|(id, share)| *share > self.accounts[id].granted);
        for (id, share) in order {
            let slots = share.min(self.available_to(now, id));
            let account = &self.accounts[&id];
            let changed = slots != account.granted || scarce != account.scarce;
            let answers =
                id == from && (answer == Answer::Always || self.run_limit != account.run_limit);
            if changed || answers {
                grants.push((id, self.grant(now, id, slots, scarce)));
            }
        }
        grants
    }

    /// The voters whose latest request is recent enough to grant on.
    fn followers(&self, now: Duration) -> Vec<EntryId> {
        let recent = |a: &Account| now < a.requested_at + self.options.ttl;
        let votes = |a: &Account| now < a.voted_until || !self.guards.has(Guard::Majority);
        let complete = self.is_complete(now);
        let accounts = self.accounts.iter();
        accounts
            .filter(|(_, a)| recent(a) && votes(a) && (a.reported || complete))
            .map(|(id, _)| *id)
            .collect()
    }

    fn demand_of(&self, id: EntryId) -> EntryDemand {
        let account = &self.accounts[&id];
        EntryDemand {
            demand: account.demand,
            headroom: account.headroom,
            local: account.local,
            rank: score(&self.options.upstream, id),
        }
    }

    /// Grantable slots minus those that the other entries may be using.
    fn available_to(&self, now: Duration, id: EntryId) -> u16 {
        let others = self.accounts.iter().filter(|(other, _)| **other != id);
        let others: u16 = others.map(|(_, a)| a.committed(now)).sum();
        self.grantable(now).saturating_sub(others)
    }

    fn grant(&mut self, now: Duration, id: EntryId, slots: u16, scarce: bool) -> Grant {
        self.number += 1;
        let number = self.number;
        let (lifetime, run_limit) = (self.grant_lifetime(), self.run_limit);
        let keeps_earlier = self.guards.has(Guard::LoweredGrant);
        if let Some(account) = self.accounts.get_mut(&id) {
            account.add_grant(number, slots, account.requested_at + lifetime);
            if !keeps_earlier {
                account.drop_earlier();
            }
            account.granted = slots;
            account.scarce = scarce;
            account.number = number;
            account.run_limit = run_limit;
        }
        Grant {
            number,
            slots,
            scarce,
            ..self.empty_grant(now, id)
        }
    }

    /// An answer that grants nothing, but carries the epoch and timestamp to vote for.
    fn empty_grant(&self, now: Duration, id: EntryId) -> Grant {
        let account = self.accounts.get(&id);
        Grant {
            upstream: Arc::clone(&self.options.upstream),
            incarnation: self.options.incarnation,
            epoch: self.epoch,
            receiver: account.map_or_else(Incarnation::default, |a| a.sender),
            timestamp: now.max(self.first_timestamp),
            request_seq: account.map_or(0, |a| a.seq),
            number: 0,
            slots: 0,
            ttl: self.options.ttl,
            run_limit: self.run_limit,
            scarce: false,
        }
    }
}
