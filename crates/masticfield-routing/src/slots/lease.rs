//! One entry's lease of one upstream's slots.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::slot::Epoch;

use super::{Grant, Renewed, SlotRequest, StepDown};
use crate::guards::{Guard, Guards};

/// Number of slot requests whose time of sending is kept; grants for older ones are ignored.
const MAX_SENT_REQUESTS: usize = 16;

/// Fixed properties of a [`Lease`].
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
    /// How long the entry's vote for a home binds it, counted from the home's last answer.
    pub vote_ttl: Duration,
}

/// How a grant changed the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The grant is late, a duplicate, or not from the home that the entry follows.
    Ignored,
    /// The home answered but grants nothing yet; the vote in the next request may change that.
    Pending,
    /// The lease has a new limit.
    Applied,
}

/// A slot request that has been sent.
#[derive(Debug, Clone, Copy)]
struct Sent {
    seq: u64,
    at: Duration,
    /// Whether it was sent as part of a renewal.
    is_renewal: bool,
}

/// The latest slot request that was sent in full, and the grant that answered it.
#[derive(Debug, Clone, Copy)]
struct Base {
    seq: u64,
    demand: u16,
    headroom: u16,
    /// Number of the first grant that answered the request.
    answer: Option<u64>,
}

/// The slots of one upstream that this entry may use.
#[derive(Debug, Clone)]
pub struct Lease {
    options: LeaseOptions,
    guards: Guards,
    home: Option<EntryId>,
    epoch: Epoch,
    /// Sequence number of the first request since the entry began to follow `home`.
    ///
    /// Grants for earlier requests are ignored, even if they are from `home`: the entry may have
    /// left it and returned to it.
    first_seq: u64,
    seq: u64,
    sent: VecDeque<Sent>,
    base: Option<Base>,
    /// Sequence number of the latest request that was answered by slots or an extension.
    answered: u64,
    echo: Option<Duration>,
    /// When the vote for `home` ceases to bind the entry.
    voted_until: Duration,
    /// Number of the latest grant that was applied.
    applied: u64,
    limit: u16,
    expires: Duration,
    ttl: Duration,
    run_limit: Duration,
    scarce: bool,
    reported: u16,
}

impl Lease {
    /// Creates a lease without slots.
    ///
    /// The entry follows no home until `vote_ttl` after its start, as it may have voted for
    /// another one before a restart. The router's clock starts at zero with the process.
    pub fn new(options: LeaseOptions, guards: Guards) -> Self {
        let may_vote_at_start = !guards.has(Guard::Restart);
        let voted_until = if may_vote_at_start {
            Duration::ZERO
        } else {
            options.vote_ttl
        };
        Self {
            options,
            guards,
            home: None,
            epoch: Epoch::new(0),
            first_seq: 1,
            seq: 0,
            sent: VecDeque::new(),
            base: None,
            answered: 0,
            echo: None,
            voted_until,
            applied: 0,
            limit: 0,
            expires: Duration::ZERO,
            ttl: Duration::ZERO,
            run_limit: Duration::ZERO,
            scarce: false,
            reported: 0,
        }
    }

    /// The home that the entry follows.
    pub const fn home(&self) -> Option<EntryId> {
        self.home
    }

    /// Whether the latest grant said that demand exceeds the slots of the upstream.
    pub const fn is_scarce(&self) -> bool {
        self.scarce
    }

    /// Slots that the latest request reported as held.
    pub const fn reported(&self) -> u16 {
        self.reported
    }

    /// Maximum number of requests in flight at `now`; 0 once the grant has expired.
    pub fn limit(&self, now: Duration) -> u16 {
        if now < self.expires { self.limit } else { 0 }
    }

    /// Whether a request with deadline `due` may be sent while `in_flight` others are in flight.
    pub fn allows(&self, now: Duration, in_flight: u16, due: Duration) -> bool {
        in_flight < self.limit(now) && due <= now + self.run_limit
    }

    /// Maximum number of requests that may be in flight without a further grant.
    pub fn held(&self, now: Duration, in_flight: u16) -> u16 {
        self.limit(now).max(in_flight)
    }

    /// Follows the home `preferred`, unless the vote for the present home still binds the entry.
    pub fn follow(&mut self, now: Duration, preferred: Option<EntryId>) {
        if self.home != preferred && now >= self.voted_until {
            self.home = preferred;
            self.first_seq = self.seq + 1;
            self.echo = None;
            self.applied = 0;
            self.base = None;
        }
    }

    /// Raises the sequence number of the next request to `seq`; a lower one has no effect.
    pub const fn raise_seq(&mut self, seq: u64) {
        if self.seq + 1 < seq {
            self.seq = seq - 1;
        }
    }

    /// Creates the next slot request, with the home to send it to; `None` without a home.
    pub fn request(
        &mut self,
        now: Duration,
        in_flight: u16,
        demand: u16,
        headroom: u16,
    ) -> Option<(EntryId, SlotRequest)> {
        let home = self.home?;
        self.record_sent(now, false);
        self.reported = self.held(now, in_flight);
        self.base = Some(Base {
            seq: self.seq,
            demand,
            headroom,
            answer: None,
        });
        let request = SlotRequest {
            upstream: Arc::clone(&self.options.upstream),
            incarnation: self.options.incarnation,
            sender: self.options.sender,
            seq: self.seq,
            epoch: self.epoch,
            echo: self.echo,
            applied: self.applied,
            held: self.reported,
            demand,
            headroom,
            local: self.options.local,
        };
        Some((home, request))
    }

    /// The request that the next one would repeat: its sequence number, and the vote to send.
    ///
    /// `None` if the next request has other content, or if the latest one was not answered.
    pub fn repeats(
        &self,
        now: Duration,
        in_flight: u16,
        demand: u16,
        headroom: u16,
    ) -> Option<(u64, Duration)> {
        let base = self.base?;
        let is_same = base.demand == demand && base.headroom == headroom;
        let is_applied = base.answer == Some(self.applied);
        let holds_grant = now < self.expires && in_flight <= self.limit;
        let is_answered = self.answered == self.seq;
        if !is_same || !is_applied || !holds_grant || !is_answered {
            return None;
        }
        Some((base.seq, self.echo?))
    }

    /// Records that a renewal repeats the latest request that was sent in full.
    pub fn renew(&mut self, now: Duration) {
        self.record_sent(now, true);
        self.reported = self.limit;
    }

    /// Extends the grant by a home's answer to a renewal.
    pub fn extend(&mut self, now: Duration, from: EntryId, renewed: &Renewed) -> GrantOutcome {
        let seq = renewed.request_seq;
        let sent = self.sent.iter().find(|sent| sent.seq == seq).copied();
        let Some(sent) = sent.filter(|sent| sent.is_renewal) else {
            return GrantOutcome::Ignored;
        };
        let from_home = self.home == Some(from) && seq >= self.first_seq;
        let is_for_entry = renewed.receiver == self.options.sender;
        let Some(base) = self.base.filter(|_| from_home && is_for_entry) else {
            return GrantOutcome::Ignored;
        };
        let guarded = self.guards.has(Guard::LateExtension);
        // A full request that was sent later may have reported fewer slots as held.
        if guarded && base.seq > seq {
            return GrantOutcome::Ignored;
        }
        self.vote(now, renewed.timestamp);
        if guarded && base.answer != Some(self.applied) {
            return GrantOutcome::Ignored;
        }
        self.answered = self.answered.max(seq);
        self.expires = self.expires.max(sent.at + self.ttl);
        GrantOutcome::Applied
    }

    /// Applies a grant of the home that the entry follows.
    pub fn apply(&mut self, now: Duration, from: EntryId, grant: &Grant) -> GrantOutcome {
        let Some(requested) = self.sent_at(grant.request_seq) else {
            return GrantOutcome::Ignored;
        };
        if self.home != Some(from)
            || grant.request_seq < self.first_seq
            || grant.receiver != self.options.sender
            || grant.epoch < self.epoch
        {
            return GrantOutcome::Ignored;
        }
        self.renew_vote(now, grant);
        if grant.number == 0 {
            return GrantOutcome::Pending;
        }
        if grant.number <= self.applied {
            return GrantOutcome::Ignored;
        }
        let start = if self.guards.has(Guard::TtlFromRequest) {
            requested
        } else {
            now
        };
        if let Some(base) = &mut self.base
            && base.seq == grant.request_seq
            && base.answer.is_none()
        {
            base.answer = Some(grant.number);
        }
        self.answered = self.answered.max(grant.request_seq);
        self.applied = grant.number;
        self.limit = grant.slots;
        self.expires = start + grant.ttl;
        self.ttl = grant.ttl;
        self.run_limit = grant.run_limit;
        self.scarce = grant.scarce;
        GrantOutcome::Applied
    }

    /// Releases the entry from its vote for a home that has stepped down.
    pub fn release(&mut self, now: Duration, from: EntryId, notice: &StepDown) {
        if self.home == Some(from) && notice.epoch >= self.epoch {
            self.voted_until = now;
        }
    }

    /// Records the epoch and timestamp of the home, and renews the vote if they are new.
    fn renew_vote(&mut self, now: Duration, grant: &Grant) {
        if grant.epoch > self.epoch {
            self.epoch = grant.epoch;
            self.echo = None;
            self.applied = 0;
            // The answers to requests of an earlier epoch are ignored.
            self.base = self.base.filter(|base| base.answer.is_none());
        }
        self.vote(now, grant.timestamp);
    }

    /// Renews the vote for the home if its timestamp is new.
    fn vote(&mut self, now: Duration, timestamp: Duration) {
        if self.echo.is_none_or(|echo| echo < timestamp) {
            self.echo = Some(timestamp);
            self.voted_until = now + self.options.vote_ttl;
        }
    }

    fn record_sent(&mut self, now: Duration, is_renewal: bool) {
        self.seq += 1;
        self.sent.push_back(Sent {
            seq: self.seq,
            at: now,
            is_renewal,
        });
        if self.sent.len() > MAX_SENT_REQUESTS {
            self.sent.pop_front();
        }
    }

    fn sent_at(&self, seq: u64) -> Option<Duration> {
        let found = self.sent.iter().find(|sent| sent.seq == seq);
        found.map(|sent| sent.at)
    }
}
