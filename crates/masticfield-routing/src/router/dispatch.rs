//! Choice of an upstream and dispatch.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, UpstreamKey};
use rand::RngExt;

use crate::guards::Guard;
use crate::request::{Dispatch, RouterAction};
use crate::slots::SlotPolicy;

use super::Router;
use super::pending::{InFlight, Pending};
use super::upstream::Upstream;

impl Router {
    /// An upstream with a free slot for the request, in its availability zone if there is one.
    pub(super) fn choose(&mut self, now: Duration, pending: &Pending) -> Option<UpstreamKey> {
        let served = &self.services[pending.service];
        let mut near = Vec::new();
        let mut far = Vec::new();
        for key in served.upstreams.iter().copied() {
            let upstream = &self.upstreams[key];
            if pending.avoid == Some(key) || !self.has_room(now, upstream, pending.due) {
                continue;
            }
            if upstream.news.zone == pending.zone {
                near.push(key);
            } else {
                far.push(key);
            }
        }
        let room = if near.is_empty() { far } else { near };
        self.less_loaded(now, &room)
    }

    /// The less loaded of two upstreams drawn at random.
    fn less_loaded(&mut self, now: Duration, room: &[UpstreamKey]) -> Option<UpstreamKey> {
        if room.len() < 2 {
            return room.first().copied();
        }
        let first = room[self.rng.random_range(0..room.len())];
        let second = room[self.rng.random_range(0..room.len())];
        let load = |key: UpstreamKey| {
            let upstream = &self.upstreams[key];
            let free = self.limit(now, upstream).saturating_sub(upstream.in_flight);
            (Reverse(free), upstream.in_flight)
        };
        Some(if load(second) < load(first) {
            second
        } else {
            first
        })
    }

    fn has_room(&self, now: Duration, upstream: &Upstream, due: Duration) -> bool {
        let in_flight = upstream.in_flight;
        let cap = upstream.health.cap(upstream.news.slots);
        let takes = upstream.takes_new_work() || !self.guards.has(Guard::Leaving);
        if !takes || in_flight >= cap {
            return false;
        }
        match self.options.policy {
            SlotPolicy::StaticShare => in_flight < upstream.share,
            SlotPolicy::TwoChoices => in_flight < upstream.news.slots && now >= upstream.full_until,
            SlotPolicy::Leased => upstream.lease.allows(now, in_flight, due),
        }
    }

    fn limit(&self, now: Duration, upstream: &Upstream) -> u16 {
        match self.options.policy {
            SlotPolicy::StaticShare => upstream.share,
            SlotPolicy::TwoChoices => upstream.news.slots,
            SlotPolicy::Leased => upstream.lease.limit(now),
        }
    }

    pub(super) fn dispatch(
        &mut self,
        now: Duration,
        key: UpstreamKey,
        pending: Pending,
    ) -> Dispatch {
        let upstream = &mut self.upstreams[key];
        upstream.in_flight += 1;
        let served = &mut self.services[pending.service];
        served.in_flight += 1;
        if served.queue.is_empty() {
            served.observe_lanes();
        }
        self.counters.dispatched += 1;
        self.counters.retried += u64::from(pending.attempt > 1);
        self.counters.spilled += u64::from(upstream.news.zone != pending.zone);
        let (due, attempt) = (pending.due, pending.attempt);
        let in_flight = InFlight {
            upstream: key,
            started: now,
            pending,
        };
        Dispatch {
            key: self.dispatches.insert(in_flight),
            upstream: key,
            id: Arc::clone(&upstream.news.id),
            incarnation: upstream.news.incarnation,
            address: upstream.news.address,
            due,
            attempt,
        }
    }

    /// Sends waiting requests of a service while there are free slots.
    pub(super) fn pump(&mut self, now: Duration, service: ServiceKey) {
        while let Some((place, waiter)) = self.services[service].queue.first() {
            let pending = self.waiters[waiter].clone();
            let Some(upstream) = self.choose(now, &pending) else {
                break;
            };
            self.waiters.remove(waiter);
            self.services[service].queue.remove(place);
            let dispatch = self.dispatch(now, upstream, pending);
            self.actions.push(RouterAction::Run(waiter, dispatch));
        }
    }
}
