//! The end of a dispatch, and retries.

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
    /// Takes the end of a dispatch and says what to do with its request.
    ///
    /// Waiting requests that may run on the freed slot come as actions. Returns `None` if the
    /// dispatch has ended before.
    pub fn finish(
        &mut self,
        now: Duration,
        key: DispatchKey,
        ending: DispatchOutcome,
    ) -> Option<NextStep> {
        let in_flight = self.dispatches.remove(key)?;
        self.free_slot(now, &in_flight, ending);
        let next = self.after(now, in_flight.upstream, in_flight.pending, ending);
        Some(next)
    }

    fn free_slot(&mut self, now: Duration, done: &InFlight, ending: DispatchOutcome) {
        let service = done.pending.service;
        let served = &mut self.services[service];
        served.observe_lanes();
        served.in_flight -= 1;
        if matches!(
            ending,
            DispatchOutcome::Answered { .. } | DispatchOutcome::Lost(_)
        ) {
            served.observe(now.saturating_sub(done.started));
        }
        self.upstreams[done.upstream].in_flight -= 1;
        self.note_health(now, done.upstream, ending);
        if ending == DispatchOutcome::Refused {
            let pause = self.services[service].mean().mul_f64(self.rng.random());
            self.upstreams[done.upstream].full_until = now + pause;
        }
        self.pump(now, service);
        self.report_release(now, done.upstream);
    }

    fn note_health(&mut self, now: Duration, key: UpstreamKey, ending: DispatchOutcome) {
        let faulty = match ending {
            DispatchOutcome::Answered { faulty } => faulty,
            DispatchOutcome::NotSent | DispatchOutcome::Lost(_) => true,
            DispatchOutcome::Refused | DispatchOutcome::Withdrawn(_) => return,
        };
        if !faulty {
            self.upstreams[key].health.succeed();
            return;
        }
        let may_set_aside = self.may_set_aside(key);
        let health = &mut self.upstreams[key].health;
        let was = health.is_set_aside();
        health.fail(now, may_set_aside);
        self.counters.set_aside += u64::from(health.is_set_aside() && !was);
    }

    /// Whether the other upstreams of the service can carry its load.
    fn may_set_aside(&self, key: UpstreamKey) -> bool {
        let service = self.upstreams[key].service;
        let Some(served) = service.and_then(|service| self.services.get(service)) else {
            return true;
        };
        let others = served.upstreams.iter().filter(|other| **other != key);
        let others: Vec<_> = others.map(|other| &self.upstreams[*other]).collect();
        let usable = others.iter().filter(|other| !other.health.is_set_aside());
        let slots: usize = usable.clone().map(|u| usize::from(u.news.slots)).sum();
        let aside = others.len() - usable.count() + 1;
        let share = f64::from(u32::try_from(aside).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(served.upstreams.len().max(1)).unwrap_or(u32::MAX));
        share <= self.options.max_set_aside && slots >= served.in_flight
    }

    /// What becomes of the request after an attempt.
    fn after(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        pending: Pending,
        ending: DispatchOutcome,
    ) -> NextStep {
        let mut pending = pending;
        match ending {
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
            ending == DispatchOutcome::Refused && self.options.policy == SlotPolicy::TwoChoices;
        if may_repeat && self.may_retry(now, &pending, free) {
            return self.retry(now, upstream, pending, free);
        }
        NextStep::Done(self.not_answered(&pending, NotRunReason::RefusedByUpstream))
    }

    /// The outcome of a request that is given up.
    ///
    /// It is unknown if an earlier attempt may have run.
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

    /// Whether the request may be sent again; `free` if that costs no retry.
    fn may_retry(&mut self, now: Duration, pending: &Pending, free: bool) -> bool {
        let served = &mut self.services[pending.service];
        let in_time = now + served.run_allowance() <= pending.due;
        if self.stopping || !in_time || (pending.attempt >= self.options.max_attempts && !free) {
            return false;
        }
        let allowed = free || served.budget.spend();
        self.counters.retries_denied += u64::from(!allowed);
        allowed
    }

    fn retry(
        &mut self,
        now: Duration,
        upstream: UpstreamKey,
        mut pending: Pending,
        free: bool,
    ) -> NextStep {
        let others = self.services[pending.service].upstreams.len() > 1;
        pending.avoid = (others && !free).then_some(upstream);
        pending.place = None;
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

    /// Puts a request where it is served next.
    pub(super) fn wait_first(&mut self, pending: Pending) -> WaiterKey {
        let (service, caller) = (pending.service, Arc::clone(&pending.caller));
        let waiter = self.waiters.insert(pending);
        let place = self.services[service].queue.push_first(caller, waiter);
        self.waiters[waiter].place = Some(place);
        waiter
    }
}
