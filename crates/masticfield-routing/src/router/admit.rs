//! Admission of requests.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, WaiterKey};
use masticfield_core::outcome::NotRunReason;
use rand::RngExt;

use crate::request::{Admission, Refusal, Request, RouterAction};

use super::Router;
use super::pending::Pending;

/// Spread of the retry-after time of refused callers, as a multiple of its minimum.
const RETRY_AFTER_SPREAD: f64 = 2.0;
/// Factor by which a wait may exceed its estimate without the request missing its deadline.
const WAIT_ALLOWANCE: f64 = 2.5;

impl Router {
    /// Admits a request: dispatches it, queues it, or refuses it with its final answer.
    pub fn admit(&mut self, now: Duration, req: Request) -> Admission {
        self.counters.requests += 1;
        let admission = self.decide(now, req);
        if matches!(admission, Admission::Refuse(_)) {
            self.counters.refused += 1;
        }
        admission
    }

    /// Drops a waiting request whose caller has gone; returns whether it was waiting.
    pub fn cancel(&mut self, waiter: WaiterKey) -> bool {
        self.take_waiter(waiter).is_some()
    }

    /// Refuses all waiting requests and every later one, and steps down as home.
    pub fn stop(&mut self, now: Duration) {
        self.stopping = true;
        for service in self.services.keys().collect::<Vec<_>>() {
            self.shed_all(service);
        }
        self.step_down_all(now);
    }

    fn decide(&mut self, now: Duration, req: Request) -> Admission {
        if self.stopping {
            return Admission::Refuse(self.refusal(None, NotRunReason::Stopping));
        }
        let Some(key) = self.service_names.get(&req.service).copied() else {
            return Admission::Refuse(self.refusal(None, NotRunReason::UnknownService));
        };
        let pending = self.pending(now, key, req);
        let service = &mut self.services[key];
        service.budget.deposit();
        if service.queue.is_empty()
            && let Some(upstream) = self.choose(now, &pending)
        {
            self.services[key].shares.record(now, &pending.caller);
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
            position: None,
            lost: None,
        }
    }

    fn enqueue(&mut self, now: Duration, mut pending: Pending) -> Admission {
        let service = pending.service;
        if let Some(reason) = self.refusal_reason(now, &pending) {
            return Admission::Refuse(self.refusal(Some(service), reason));
        }
        let caller = Arc::clone(&pending.caller);
        let position = self.services[service].queue.next_position(pending.due);
        pending.position = Some(position);
        let waiter = self.waiters.insert(pending);
        self.services[service]
            .queue
            .push(position, Arc::clone(&caller), waiter);
        self.counters.queued += 1;
        self.services[service].shares.record(now, &caller);
        self.request_slots_soon(now, service);
        Admission::Wait(waiter)
    }

    /// Why the request cannot be answered in time, or may not wait; `None` if it may be queued.
    fn refusal_reason(&mut self, now: Duration, pending: &Pending) -> Option<NotRunReason> {
        let service = &self.services[pending.service];
        let usable = |key: &_| self.upstreams[*key].takes_new_work();
        if !service.upstreams.iter().any(usable) {
            return Some(NotRunReason::NoUpstream);
        }
        let position = service.queue.next_position(pending.due);
        let wait = service.wait_behind(service.queue.ahead_of(position));
        let needed = wait.mul_f64(WAIT_ALLOWANCE) + service.run_allowance();
        let contended = wait > service.run_allowance();
        if contended && service.shares.is_exceeded(now, &pending.caller) {
            self.counters.over_share += 1;
            return Some(NotRunReason::CallerShare);
        }
        let full = service.queue.len() >= self.options.max_queue;
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

    /// Refuses all waiting requests of a service.
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

    /// Removes a waiting request, whether queued or delayed for a retry.
    pub(super) fn take_waiter(&mut self, waiter: WaiterKey) -> Option<Pending> {
        let pending = self.waiters.remove(waiter)?;
        if let Some(position) = pending.position {
            self.services[pending.service].queue.remove(position);
        }
        self.delayed.retain(|(_, delayed)| *delayed != waiter);
        Some(pending)
    }

    /// A refusal, with a random retry-after time so that callers do not all return together.
    pub(super) fn refusal(&mut self, service: Option<ServiceKey>, reason: NotRunReason) -> Refusal {
        let service = service.map(|service| &self.services[service]);
        let drained = service.map_or(Duration::ZERO, |s| s.wait_behind(s.queue.len()));
        let min = self.options.retry_after.max(drained);
        let spread = self.rng.random_range(1.0..1.0 + RETRY_AFTER_SPREAD);
        Refusal {
            reason,
            retry_after: min.mul_f64(spread),
        }
    }
}
