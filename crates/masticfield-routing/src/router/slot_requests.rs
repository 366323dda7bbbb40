//! Slot requests of this entry.

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{EntryId, ServiceKey, UpstreamKey};

use crate::request::RouterAction;
use crate::slots::{Renewal, RenewalBase, SlotMessage, SlotPolicy, SlotRequest};

use super::Router;
use super::slot_exchange::MAX_PER_MESSAGE;

/// Minimum interval between two slot requests for the same upstream.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Slots held in reserve at an upstream in the entry's own availability zone.
const LOCAL_HEADROOM: u16 = 2;
/// Slots held in reserve at an upstream in another availability zone.
const REMOTE_HEADROOM: u16 = 1;
/// Maximum number of bases in a renewal; requests of more are sent in full, under one number.
const MAX_BASES: usize = 4;

/// A slot request that repeats an earlier one.
#[derive(Debug, Clone, Copy)]
struct Repeated {
    upstream: UpstreamKey,
    /// Sequence number under which the request was sent in full.
    base: u64,
    echo: Duration,
}

/// Counts the repeated requests of each base.
fn count_bases(repeated: &[Repeated]) -> Vec<RenewalBase> {
    let mut counts: BTreeMap<u64, u16> = BTreeMap::new();
    for repeated in repeated {
        *counts.entry(repeated.base).or_default() += 1;
    }
    let counts = counts.into_iter();
    counts
        .map(|(seq, count)| RenewalBase { seq, count })
        .collect()
}

impl Router {
    /// Brings the next slot requests of a service forward where its demand has grown.
    pub(super) fn request_slots_soon(&mut self, now: Duration, service: ServiceKey) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        for key in self.services[service].upstreams.clone() {
            let (demand, _) = self.demand(key);
            if demand > self.upstreams[key].requested_demand {
                self.bring_request_forward(now, key);
            }
        }
    }

    /// Brings the next slot request forward if this entry holds slots that it no longer uses.
    pub(super) fn report_unused_slots(&mut self, now: Duration, key: UpstreamKey) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        let upstream = &self.upstreams[key];
        let lowered = upstream.lease.held(now, upstream.in_flight) < upstream.lease.reported();
        let unused = self.demand(key).0 < upstream.requested_demand;
        if lowered || (unused && upstream.lease.is_scarce()) {
            self.bring_request_forward(now, key);
        }
    }

    fn bring_request_forward(&mut self, now: Duration, key: UpstreamKey) {
        let upstream = &mut self.upstreams[key];
        let soon = now.max(upstream.requested_at + MIN_REQUEST_INTERVAL);
        upstream.next_request = upstream.next_request.min(soon);
        self.next_tick = self.next_tick.min(upstream.next_request);
    }

    /// When the next slot request is due; `None` without upstreams or leases.
    pub(super) fn next_request(&self) -> Option<Duration> {
        if self.options.policy != SlotPolicy::Leased {
            return None;
        }
        self.upstreams.values().map(|u| u.next_request).min()
    }

    /// Sends the slot requests that are due, to each home together.
    ///
    /// Requests that repeat earlier ones are sent as one renewal, which includes those of the same
    /// home that are not due yet.
    pub(super) fn send_due_requests(&mut self, now: Duration) {
        if self.options.policy != SlotPolicy::Leased {
            return;
        }
        self.follow_homes(now);
        let mut due: BTreeMap<EntryId, Vec<UpstreamKey>> = BTreeMap::new();
        for (key, upstream) in &mut self.upstreams {
            if upstream.next_request > now {
                continue;
            }
            upstream.requested_at = now;
            upstream.next_request = now + self.options.grant_refresh_interval;
            if let Some(home) = upstream.lease.home() {
                due.entry(home).or_default().push(key);
            }
        }
        for (home, due) in due {
            self.request_seq += 1;
            self.send_requests(now, home, due);
        }
    }

    fn send_requests(&mut self, now: Duration, home: EntryId, mut due: Vec<UpstreamKey>) {
        let mut repeated = Vec::new();
        if home != self.identity.entry && due.iter().any(|key| self.repeats(now, *key).is_some()) {
            repeated = self.repeated_requests(now, home);
            let is_repeated = |key: &UpstreamKey| repeated.iter().any(|r| r.upstream == *key);
            due.retain(|key| !is_repeated(key));
        }
        let bases = count_bases(&repeated);
        if bases.len() > MAX_BASES {
            due.extend(repeated.drain(..).map(|repeated| repeated.upstream));
        }
        // Full requests go first, as they tell the home which ones a renewal no longer repeats.
        self.send_full_requests(now, home, &due);
        if !repeated.is_empty() {
            self.send_renewal(now, home, &repeated, bases);
        }
    }

    fn send_full_requests(&mut self, now: Duration, home: EntryId, due: &[UpstreamKey]) {
        let requests = due.iter().filter_map(|key| self.full_request(now, *key));
        let requests: Vec<SlotRequest> = requests.collect();
        self.counters.slot_requests += requests.len() as u64;
        if home == self.identity.entry {
            self.receive_requests(now, home, &requests);
            return;
        }
        for chunk in requests.chunks(MAX_PER_MESSAGE) {
            let msg = SlotMessage::Requests(chunk.to_vec());
            self.actions.push(RouterAction::Send(home, msg));
        }
    }

    fn send_renewal(
        &mut self,
        now: Duration,
        home: EntryId,
        repeated: &[Repeated],
        bases: Vec<RenewalBase>,
    ) {
        for repeated in repeated {
            let upstream = &mut self.upstreams[repeated.upstream];
            upstream.requested_at = now;
            upstream.next_request = now + self.options.grant_refresh_interval;
            upstream.lease.raise_seq(self.request_seq);
            upstream.lease.renew(now);
        }
        self.counters.slot_requests += 1;
        // An upstream's earlier vote binds the entry no longer than its latest one does.
        let echo = repeated.iter().map(|repeated| repeated.echo).min();
        let renewal = Renewal {
            sender: self.identity.incarnation,
            seq: self.request_seq,
            echo: echo.unwrap_or_default(),
            bases,
        };
        let msg = SlotMessage::Renewal(renewal);
        self.actions.push(RouterAction::Send(home, msg));
    }

    /// The upstreams of a home whose next slot request repeats an earlier one.
    fn repeated_requests(&self, now: Duration, home: EntryId) -> Vec<Repeated> {
        let upstreams = self.upstreams.iter();
        let followed = upstreams.filter(|(_, upstream)| upstream.lease.home() == Some(home));
        followed
            .filter_map(|(key, _)| self.repeats(now, key))
            .collect()
    }

    /// The earlier slot request that the next one for an upstream would repeat.
    fn repeats(&self, now: Duration, key: UpstreamKey) -> Option<Repeated> {
        let (demand, headroom) = self.demand(key);
        let upstream = &self.upstreams[key];
        let (base, echo) = upstream
            .lease
            .repeats(now, upstream.in_flight, demand, headroom)?;
        Some(Repeated {
            upstream: key,
            base,
            echo,
        })
    }

    /// The next slot request for an upstream, with its full content; `None` without a home.
    fn full_request(&mut self, now: Duration, key: UpstreamKey) -> Option<SlotRequest> {
        let (demand, headroom) = self.demand(key);
        let upstream = &mut self.upstreams[key];
        upstream.requested_at = now;
        upstream.requested_demand = demand;
        upstream.next_request = now + self.options.grant_refresh_interval;
        upstream.lease.raise_seq(self.request_seq);
        let in_flight = upstream.in_flight;
        let request = upstream.lease.request(now, in_flight, demand, headroom);
        request.map(|(_, request)| request)
    }

    /// Slots that this entry has work for at an upstream, and the headroom beyond them.
    fn demand(&self, key: UpstreamKey) -> (u16, u16) {
        let upstream = &self.upstreams[key];
        let service = upstream.service.and_then(|s| self.services.get(s));
        let Some(service) = service.filter(|_| upstream.takes_new_work() && !self.stopping) else {
            return (0, 0);
        };
        let cap = upstream.health.cap(upstream.announcement.slots);
        let waiting = service.queue.len().div_ceil(service.upstreams.len().max(1));
        let waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
        let demand = if cap == 0 {
            0
        } else {
            upstream.in_flight.saturating_add(waiting)
        };
        let headroom = if upstream.announcement.zone == self.identity.zone {
            LOCAL_HEADROOM
        } else {
            REMOTE_HEADROOM
        };
        (demand, (upstream.in_flight + headroom).min(cap))
    }
}
