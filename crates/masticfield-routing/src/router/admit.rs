//! Admission of requests.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, WaiterKey};
use masticfield_core::outcome::NotRunReason;
use rand::RngExt;

use crate::request::{Admission, Refusal, Request, RouterAction};

use super::Router;
use super::pending::Pending;

/// Spread of the time after which refused callers come back, as a multiple of its least.
const RETRY_AFTER_SPREAD: f64 = 2.0;
/// How much longer than estimated a wait may turn out for a request to be answered in time.
const WAIT_ALLOWANCE: f64 = 2.5;
impl Router {
    /// Admits a request: it runs now, waits, or is refused with its final answer.
    pub fn admit(&mut self, now: Duration, req: Request) -> Admission {
        self.counters.requests += 1;
        let admission = self.decide(now, req);
        if matches!(admission, Admission::Refuse(_)) {
            self.counters.refused += 1;
        }
        admission
    }

    /// Forgets a waiting request whose caller has gone; returns whether it was waiting.
    pub fn cancel(&mut self, waiter: WaiterKey) -> bool {
        self.take_waiter(waiter).is_some()
    }

    /// Refuses all that waits and everything from now on.
    pub fn stop(&mut self, now: Duration) {
        self.stopping = true;
        for service in self.services.keys().collect::<Vec<_>>() {
            self.shed_all(service);
        }
        self.resign_homes(now);
    }

    fn decide(&mut self, now: Duration, req: Request) -> Admission {
        if self.stopping {
            return Admission::Refuse(self.refusal(None, NotRunReason::Stopping));
        }
        let Some(service) = self.service_names.get(&req.service).copied() else {
            return Admission::Refuse(self.refusal(None, NotRunReason::UnknownService));
        };
        let pending = self.pending(now, service, req);
        let served = &mut self.services[service];
        served.budget.earn();
        if served.queue.is_empty()
            && let Some(upstream) = self.choose(now, &pending)
        {
            self.services[service].shares.add(now, &pending.caller);
            return Admission::Run(self.dispatch(now, upstream, pending));
        }
        self.enqueue(now, pending)
    }

    fn pending(&self, now: Duration, service: ServiceKey, req: Request) -> Pending {
        let longest = self.services[service].deadline;
        let zone = req.zone.unwrap_or_else(|| Arc::clone(&self.identity.zone));
        Pending {
            service,
            caller: req.caller,
            zone,
            idempotent: req.idempotent,
            due: now
                + req
                    .deadline
                    .map_or(longest, |deadline| deadline.min(longest)),
            attempt: 1,
            avoid: None,
            place: None,
            lost: None,
        }
    }

    fn enqueue(&mut self, now: Duration, mut pending: Pending) -> Admission {
        let service = pending.service;
        if let Some(reason) = self.reason_against(now, &pending) {
            return Admission::Refuse(self.refusal(Some(service), reason));
        }
        let caller = Arc::clone(&pending.caller);
        let place = self.services[service].queue.next_place(pending.due);
        pending.place = Some(place);
        let waiter = self.waiters.insert(pending);
        self.services[service]
            .queue
            .push(place, Arc::clone(&caller), waiter);
        self.counters.queued += 1;
        self.services[service].shares.add(now, &caller);
        self.wish_soon(now, service);
        Admission::Wait(waiter)
    }

    /// Why the request cannot be answered in time, or may not wait.
    fn reason_against(&mut self, now: Duration, pending: &Pending) -> Option<NotRunReason> {
        let served = &self.services[pending.service];
        let usable = |key: &_| self.upstreams[*key].takes_new_work();
        if !served.upstreams.iter().any(usable) {
            return Some(NotRunReason::NoUpstream);
        }
        let place = served.queue.next_place(pending.due);
        let wait = served.wait_behind(served.queue.ahead_of(place));
        let needed = wait.mul_f64(WAIT_ALLOWANCE) + served.run_allowance();
        let contended = wait > served.run_allowance();
        if contended && served.shares.is_over(now, &pending.caller) {
            self.counters.over_share += 1;
            return Some(NotRunReason::CallerShare);
        }
        let full = served.queue.len() >= self.options.max_queue;
        (full || now + needed > pending.due).then_some(NotRunReason::Overloaded)
    }

    /// Refuses a waiting request.
    pub(super) fn shed(&mut self, waiter: WaiterKey, reason: NotRunReason) {
        if let Some(pending) = self.take_waiter(waiter) {
            self.counters.shed += 1;
            let outcome = self.not_answered(&pending, reason);
            self.actions.push(RouterAction::Done(waiter, outcome));
        }
    }

    /// Refuses all requests that wait for a service.
    pub(super) fn shed_all(&mut self, service: ServiceKey) {
        let reason = if self.stopping {
            NotRunReason::Stopping
        } else {
            NotRunReason::UnknownService
        };
        let waiters = self.waiters.iter();
        let waiters: Vec<WaiterKey> = waiters
            .filter(|(_, pending)| pending.service == service)
            .map(|(waiter, _)| waiter)
            .collect();
        for waiter in waiters {
            self.shed(waiter, reason);
        }
    }

    /// Takes a waiting request out of its queue.
    pub(super) fn take_waiter(&mut self, waiter: WaiterKey) -> Option<Pending> {
        let pending = self.waiters.remove(waiter)?;
        if let Some(place) = pending.place {
            self.services[pending.service].queue.remove(place);
        }
        self.delayed.retain(|(_, delayed)| *delayed != waiter);
        Some(pending)
    }

    /// The final answer, with a time to come back that differs from caller to caller.
    pub(super) fn refusal(&mut self, service: Option<ServiceKey>, reason: NotRunReason) -> Refusal {
        let served = service.map(|service| &self.services[service]);
        let drained = served.map_or(Duration::ZERO, |s| s.wait_behind(s.queue.len()));
        let least = self.options.retry_after.max(drained);
        let spread = self.rng.random_range(1.0..1.0 + RETRY_AFTER_SPREAD);
        Refusal {
            reason,
            retry_after: least.mul_f64(spread),
        }
    }
}
