//! Choice of an upstream, and dispatch.

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
    /// Chooses an upstream with a free slot, in the preferred availability zone if possible.
    pub(super) fn choose(&mut self, now: Duration, pending: &Pending) -> Option<UpstreamKey> {
        let service = &self.services[pending.service];
        let mut near = Vec::new();
        let mut far = Vec::new();
        for key in service.upstreams.iter().copied() {
            let upstream = &self.upstreams[key];
            if pending.avoid == Some(key) || !self.has_free_slot(now, upstream, pending.due) {
                continue;
            }
            if upstream.announcement.zone == pending.zone {
                near.push(key);
            } else {
                far.push(key);
            }
        }
        let candidates = if near.is_empty() { far } else { near };
        self.less_loaded(now, &candidates)
    }

    /// The less loaded of two candidates drawn at random.
    fn less_loaded(&mut self, now: Duration, candidates: &[UpstreamKey]) -> Option<UpstreamKey> {
        if candidates.len() < 2 {
            return candidates.first().copied();
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
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

    fn has_free_slot(&self, now: Duration, upstream: &Upstream, due: Duration) -> bool {
        let in_flight = upstream.in_flight;
        let cap = upstream.health.cap(upstream.announcement.slots);
        let takes_work = upstream.takes_new_work() || !self.guards.has(Guard::Leaving);
        if !takes_work || in_flight >= cap {
            return false;
        }
        match self.options.policy {
            SlotPolicy::StaticShare => in_flight < upstream.share,
            SlotPolicy::TwoChoices => {
                in_flight < upstream.announcement.slots && now >= upstream.full_until
            }
            SlotPolicy::Leased => upstream.lease.allows(now, in_flight, due),
        }
    }

    /// Maximum number of requests in flight that the slot policy allows at an upstream.
    fn limit(&self, now: Duration, upstream: &Upstream) -> u16 {
        match self.options.policy {
            SlotPolicy::StaticShare => upstream.share,
            SlotPolicy::TwoChoices => upstream.announcement.slots,
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
        let service = &mut self.services[pending.service];
        service.in_flight += 1;
        if service.queue.is_empty() {
            service.record_concurrency();
        }
        self.counters.dispatched += 1;
        self.counters.retried += u64::from(pending.attempt > 1);
        self.counters.spilled += u64::from(upstream.announcement.zone != pending.zone);
        let (due, attempt) = (pending.due, pending.attempt);
        let in_flight = InFlight {
            upstream: key,
            started: now,
            pending,
        };
        Dispatch {
            key: self.dispatches.insert(in_flight),
            upstream: key,
            id: Arc::clone(&upstream.announcement.id),
            incarnation: upstream.announcement.incarnation,
            address: upstream.announcement.address,
            due,
            attempt,
        }
    }

    /// Dispatches queued requests of a service while there are free slots.
    pub(super) fn dispatch_queued(&mut self, now: Duration, service: ServiceKey) {
        while let Some((position, waiter)) = self.services[service].queue.first() {
            let pending = self.waiters[waiter].clone();
            let Some(upstream) = self.choose(now, &pending) else {
                break;
            };
            self.waiters.remove(waiter);
            self.services[service].queue.remove(position);
            let dispatch = self.dispatch(now, upstream, pending);
            self.actions.push(RouterAction::Run(waiter, dispatch));
        }
    }
}
