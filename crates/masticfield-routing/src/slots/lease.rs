//! What one entry may use of one upstream's slots.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::slot::Epoch;

use super::{Grant, Resignation, SlotWish};
use crate::guards::{Guard, Guards};

/// Wishes whose time of sending is remembered.
const MAX_SENT: usize = 16;

/// What stays the same during the life of a [`Lease`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseOptions {
    /// Identifier of the upstream.
    pub upstream: Arc<str>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Incarnation of the entry that holds the lease.
    pub sender: Incarnation,
    /// Whether the entry is in the availability zone of the upstream.
    pub local: bool,
    /// How long the entry stays with the home that it last heard of.
    pub pledge: Duration,
}

/// What became of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Accepted {
    /// It is late, doubled, or of a home that the entry does not follow.
    Ignored,
    /// The home answered but grants nothing yet; a further wish brings it nearer to granting.
    Greeted,
    /// The limit was taken over.
    TakenOver,
}

/// The slots of one upstream that this entry may use.
#[derive(Debug, Clone)]
pub struct Lease {
    options: LeaseOptions,
    guards: Guards,
    home: Option<EntryId>,
    epoch: Epoch,
    /// Wishes before this one were sent to another home, or in another period with this one.
    first_seq: u64,
    seq: u64,
    sent: VecDeque<(u64, Duration)>,
    echo: Option<Duration>,
    pledged_until: Duration,
    taken: u64,
    limit: u16,
    until: Duration,
    run_limit: Duration,
    scarce: bool,
    reported: u16,
}

impl Lease {
    /// Creates a lease that allows nothing.
    ///
    /// The entry follows no home in the first moments after its start: before the start it may
    /// have pledged itself to another one. Times are counted from the start of the process.
    pub fn new(options: LeaseOptions, guards: Guards) -> Self {
        let trusts_memory = !guards.has(Guard::Restart);
        let pledged_until = if trusts_memory {
            Duration::ZERO
        } else {
            options.pledge
        };
        Self {
            options,
            guards,
            home: None,
            epoch: Epoch::new(0),
            first_seq: 1,
            seq: 0,
            sent: VecDeque::new(),
            echo: None,
            pledged_until,
            taken: 0,
            limit: 0,
            until: Duration::ZERO,
            run_limit: Duration::ZERO,
            scarce: false,
            reported: 0,
        }
    }

    /// The home that the entry follows.
    pub const fn home(&self) -> Option<EntryId> {
        self.home
    }

    /// Whether the home said that entries have more work than the upstream has slots.
    pub const fn is_scarce(&self) -> bool {
        self.scarce
    }

    /// What the latest wish said to be held.
    pub const fn reported(&self) -> u16 {
        self.reported
    }

    /// How many requests may be in flight at `now`.
    pub fn limit(&self, now: Duration) -> u16 {
        if now < self.until { self.limit } else { 0 }
    }

    /// Whether a request due at `due` may be sent beside `in_flight` others.
    pub fn allows(&self, now: Duration, in_flight: u16, due: Duration) -> bool {
        in_flight < self.limit(now) && due <= now + self.run_limit
    }

    /// Most requests that may be in flight without a further grant.
    pub fn holding(&self, now: Duration, in_flight: u16) -> u16 {
        self.limit(now).max(in_flight)
    }

    /// Follows `preferred`, as soon as the pledge to the present home has ended.
    pub fn follow(&mut self, now: Duration, preferred: Option<EntryId>) {
        if self.home != preferred && now >= self.pledged_until {
            self.home = preferred;
            self.first_seq = self.seq + 1;
            self.echo = None;
            self.taken = 0;
        }
    }

    /// The next wish to the home; none without a home.
    pub fn wish(
        &mut self,
        now: Duration,
        in_flight: u16,
        need: u16,
        ahead: u16,
    ) -> Option<(EntryId, SlotWish)> {
        let home = self.home?;
        self.seq += 1;
        self.sent.push_back((self.seq, now));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
        self.reported = self.holding(now, in_flight);
        let wish = SlotWish {
            upstream: Arc::clone(&self.options.upstream),
            incarnation: self.options.incarnation,
            sender: self.options.sender,
            seq: self.seq,
            epoch: self.epoch,
            echo: self.echo,
            taken: self.taken,
            holding: self.reported,
            need,
            ahead,
            local: self.options.local,
        };
        Some((home, wish))
    }

    /// Takes over a grant of the home that the entry follows.
    pub fn accept(&mut self, now: Duration, from: EntryId, grant: &Grant) -> Accepted {
        let Some(wished) = self.sent_at(grant.answers) else {
            return Accepted::Ignored;
        };
        if self.home != Some(from)
            || grant.answers < self.first_seq
            || grant.receiver != self.options.sender
            || grant.epoch < self.epoch
        {
            return Accepted::Ignored;
        }
        self.hear(now, grant);
        if grant.number == 0 {
            return Accepted::Greeted;
        }
        if grant.number <= self.taken {
            return Accepted::Ignored;
        }
        let start = if self.guards.has(Guard::TtlFromWish) {
            wished
        } else {
            now
        };
        self.taken = grant.number;
        self.limit = grant.slots;
        self.until = start + grant.ttl;
        self.run_limit = grant.run_limit;
        self.scarce = grant.scarce;
        Accepted::TakenOver
    }

    /// Ends the pledge to a home that resigned.
    pub fn release(&mut self, now: Duration, from: EntryId, resigned: &Resignation) {
        if self.home == Some(from) && resigned.epoch >= self.epoch {
            self.pledged_until = now;
        }
    }

    /// Notes the epoch and the stamp of the home and renews the pledge.
    fn hear(&mut self, now: Duration, grant: &Grant) {
        if grant.epoch > self.epoch {
            self.epoch = grant.epoch;
            self.echo = None;
            self.taken = 0;
        }
        if self.echo.is_none_or(|echo| echo < grant.stamp) {
            self.echo = Some(grant.stamp);
            self.pledged_until = now + self.options.pledge;
        }
    }

    fn sent_at(&self, seq: u64) -> Option<Duration> {
        let found = self.sent.iter().find(|(number, _)| *number == seq);
        found.map(|(_, at)| *at)
    }
}
