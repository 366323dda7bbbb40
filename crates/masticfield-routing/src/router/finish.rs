//! End of a dispatch, and retries.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{UpstreamKey, WaiterKey};
use masticfield_core::outcome::{NotRunReason, Outcome};
use rand::RngExt;

use crate::guards::Guard;
use crate::request::{DispatchKey, DispatchOutcome, NextStep};
use crate::slots::SlotPolicy;

use super::Router;
use super::pending::{InFlight, Pending};

impl Router {
    /// Ends a dispatch and decides what follows for its request.
    ///
    /// Waiting requests that get the freed slot are returned by
    /// [`take_actions`](Self::take_actions). Returns `None` if the dispatch has already ended.
    pub fn finish(
        &mut self,
        now: Duration,
        key: DispatchKey,
        outcome: DispatchOutcome,
    ) -> Option<NextStep> {
        let in_flight = self.dispatches.remove(key)?;
        self.free_slot(now, &in_flight, outcome);
        let next = self.next_step(now, in_flight.upstream, in_flight.pending, outcome);
        Some(next)
    }

    fn free_slot(&mut self, now: Duration, ended: &InFlight, outcome: DispatchOutcome) {
        let key = ended.pending.service;
        let service = &mut self.services[key];
        service.record_concurrency();
        service.in_flight -= 1;
        if matches!(
            outcome,
            DispatchOutcome::Answered { .. } | DispatchOutcome::Lost(_)
        ) {
            service.record_service_time(now.saturating_sub(ended.started));
        }
        self.upstreams[ended.upstream].in_flight -= 1;
        self.record_health(now, ended.upstream, outcome);
        if outcome == DispatchOutcome::Refused {
            let pause = self.services[key]
                .mean_service_time()
                .mul_f64(self.rng.random());
            self.upstreams[ended.upstream].full_until = now + pause;
        }
        self.dispatch_queued(now, key);
        self.report_unused_slots(now, ended.upstream);
    }

    fn record_health(&mut self, now: Duration, key: UpstreamKey, outcome: DispatchOutcome) {
        let faulty = match outcome {
            DispatchOutcome::Answered { faulty } => faulty,
            DispatchOutcome::NotSent | DispatchOutcome::Lost(_) => true,
            DispatchOutcome::Refused | DispatchOutcome::Withdrawn(_) => return,
        };
        if !faulty {
            self.upstreams[key].health.record_success();
            return;
        }
        let may_set_aside = self.may_set_aside(key);
        let health = &mut self.upstreams[key].health;
        let was_set_aside = health.is_set_aside();
        health.record_fault(now, may_set_aside);
        self.counters.set_aside += u64::from(health.is_set_aside() && !was_set_aside);
    }

    /// Whether enough upstreams of the service remain, with slots for its present load.
    fn may_set_aside(&self, key: UpstreamKey) -> bool {
        let service = self.upstreams[key].service;
        let Some(service) = service.and_then(|service| self.services.get(service)) else {
            return true;
        };
        let others = service.upstreams.iter().filter(|other| **other != key);
        let others: Vec<_> = others.map(|other| &self.upstreams[*other]).collect();
        let usable = others.iter().filter(|other| !other.health.is_set_aside());
        let slots: usize = usable
            .clone()
            .map(|u| usize::from(u.announcement.slots))
            .sum();
        let set_aside = others.len() - usable.count() + 1;
        let fraction = f64::from(u32::try_from(set_aside).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(service.upstreams.len().max(1)).unwrap_or(u32::MAX));
        fraction <= self.options.max_set_aside && slots >= service.in_flight
    }

    /// Decides between a retry and the final answer.
    fn next_step(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        pending: Pending,
        outcome: DispatchOutcome,
    ) -> NextStep {
        let mut pending = pending;
        match outcome {
            DispatchOutcome::Answered { .. } => return NextStep::Done(Outcome::Answered),
            DispatchOutcome::Withdrawn(reason) => {
                return NextStep::Done(self.not_answered(&pending, reason));
            }
            DispatchOutcome::Refused | DispatchOutcome::NotSent => {}
            DispatchOutcome::Lost(reason) => pending.lost = Some(reason),
        }
        let idempotent = pending.idempotent || !self.guards.has(Guard::Idempotence);
        let may_repeat = pending.lost.is_none() || idempotent;
        let free =
            outcome == DispatchOutcome::Refused && self.options.policy == SlotPolicy::TwoChoices;
        if may_repeat && self.may_retry(now, &pending, free) {
            return self.retry(now, upstream, pending, free);
        }
        NextStep::Done(self.not_answered(&pending, NotRunReason::RefusedByUpstream))
    }

    /// The outcome of a request that gets no response.
    ///
    /// It is unknown if an attempt may have run; otherwise the request did not run, for `reason`.
    pub(super) fn not_answered(&mut self, pending: &Pending, reason: NotRunReason) -> Outcome {
        if let Some(reason) = pending.lost
            && self.guards.has(Guard::Sent)
        {
            return Outcome::Unknown { reason };
        }
        let refusal = self.refusal(Some(pending.service), reason);
        Outcome::NotRun {
            reason,
            retry_after: refusal.retry_after,
        }
    }

    /// Whether the request may be sent again; a `free` retry has no budget or attempt limit.
    fn may_retry(&mut self, now: Duration, pending: &Pending, free: bool) -> bool {
        let service = &mut self.services[pending.service];
        let in_time = now + service.run_allowance() <= pending.due;
        if self.stopping || !in_time || (pending.attempt >= self.options.max_attempts && !free) {
            return false;
        }
        let allowed = free || service.budget.withdraw();
        self.counters.retries_denied += u64::from(!allowed);
        allowed
    }

    /// Sends a request again: at once or from the queue if `free`, else after a random pause.
    fn retry(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        mut pending: Pending,
        free: bool,
    ) -> NextStep {
        let others = self.services[pending.service].upstreams.len() > 1;
        pending.avoid = (others && !free).then_some(upstream);
        pending.position = None;
        let doublings = 1 << pending.attempt.min(8);
        pending.attempt += 1;
        if free {
            if let Some(other) = self.choose(now, &pending) {
                return NextStep::Run(self.dispatch(now, other, pending));
            }
            return NextStep::Wait(self.wait_first(pending));
        }
        let pause = self.options.retry_backoff * doublings / 2;
        let until = now + pause.mul_f64(self.rng.random());
        let waiter = self.waiters.insert(pending);
        self.delayed.insert((until, waiter));
        self.next_tick = self.next_tick.min(until);
        NextStep::Wait(waiter)
    }

    /// Queues a request before those that were not dispatched yet.
    pub(super) fn wait_first(&mut self, pending: Pending) -> WaiterKey {
        let (service, caller) = (pending.service, Arc::clone(&pending.caller));
        let waiter = self.waiters.insert(pending);
        let position = self.services[service].queue.push_front(caller, waiter);
        self.waiters[waiter].position = Some(position);
        waiter
    }
}
