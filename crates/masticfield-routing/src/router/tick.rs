//! What is due with the passing of time.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, WaiterKey};
use masticfield_core::outcome::NotRunReason;

use super::Router;

/// Interval between two checks of waiting requests.
const QUEUE_CHECK: Duration = Duration::from_millis(10);
/// Longest interval between two ticks.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

impl Router {
    /// Does what is due: retries, refusals, trials and wishes.
    pub fn tick(&mut self, now: Duration) {
        for upstream in self.upstreams.values_mut() {
            upstream.health.wake(now);
        }
        self.ticked_at = now;
        self.drop_removed(now);
        self.end_pauses(now);
        for service in self.services.keys().collect::<Vec<_>>() {
            self.count_own_lanes(service);
            self.pump(now, service);
            self.shed_late(now, service);
        }
        self.send_due_wishes(now);
        self.plan_tick(now);
    }

    /// Puts requests whose pause before a retry is over back into their queues.
    fn end_pauses(&mut self, now: Duration) {
        while let Some((until, waiter)) = self.delayed.first().copied() {
            if until > now {
                break;
            }
            self.delayed.pop_first();
            let pending = &self.waiters[waiter];
            let (service, caller) = (pending.service, Arc::clone(&pending.caller));
            let place = self.services[service].queue.push_first(caller, waiter);
            self.waiters[waiter].place = Some(place);
        }
    }

    /// Refuses waiting requests that cannot be answered in time any more.
    fn shed_late(&mut self, now: Duration, service: ServiceKey) {
        let served = &self.services[service];
        let run = served.mean();
        let mut late: Vec<WaiterKey> = Vec::new();
        for (ahead, (_, waiter)) in served.queue.iter().enumerate() {
            let wait = served.wait_behind(ahead - late.len());
            if now + wait + run > self.waiters[waiter].due {
                late.push(waiter);
            }
        }
        for waiter in late {
            self.shed(waiter, NotRunReason::DeadlinePassed);
        }
    }

    /// Counts the slots that fall to this entry if all entries are busy.
    fn count_own_lanes(&mut self, service: ServiceKey) {
        let served = &self.services[service];
        let upstreams = served.upstreams.iter().map(|key| &self.upstreams[*key]);
        let usable = upstreams.filter(|upstream| upstream.takes_new_work());
        let slots: u32 = usable.map(|u| u32::from(u.health.cap(u.news.slots))).sum();
        let entries = u32::try_from(self.live.len().max(1)).unwrap_or(u32::MAX);
        self.services[service].own_lanes = f64::from(slots) / f64::from(entries);
    }

    fn plan_tick(&mut self, now: Duration) {
        let waits = self
            .services
            .values()
            .any(|served| !served.queue.is_empty());
        let mut next = now + if waits { QUEUE_CHECK } else { MAX_INTERVAL };
        if let Some((until, _)) = self.delayed.first() {
            next = next.min(*until);
        }
        if let Some(wish) = self.next_wish() {
            next = next.min(wish);
        }
        self.next_tick = next;
    }
}
