//! Periodic work of the router.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{ServiceKey, WaiterKey};
use masticfield_core::outcome::NotRunReason;

use super::Router;

/// Interval between two checks of the queues while requests wait.
const QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum interval between two ticks.
const MAX_INTERVAL: Duration = Duration::from_millis(100);

impl Router {
    /// Performs the work that is due: probes, retries, refusals and slot requests.
    ///
    /// The next call is due at [`next_tick`](Self::next_tick); earlier calls do no harm.
    pub fn tick(&mut self, now: Duration) {
        for upstream in self.upstreams.values_mut() {
            upstream.health.allow_probe(now);
        }
        self.ticked_at = now;
        self.drop_removed(now);
        self.requeue_delayed(now);
        for service in self.services.keys().collect::<Vec<_>>() {
            self.update_own_slots(service);
            self.dispatch_queued(now, service);
            self.shed_late(now, service);
        }
        self.send_due_requests(now);
        self.schedule_tick(now);
    }

    /// Queues the requests whose pause before a retry has ended.
    fn requeue_delayed(&mut self, now: Duration) {
        while let Some((until, waiter)) = self.delayed.first().copied() {
            if until > now {
                break;
            }
            self.delayed.pop_first();
            let pending = &self.waiters[waiter];
            let (service, caller) = (pending.service, Arc::clone(&pending.caller));
            let position = self.services[service].queue.push_front(caller, waiter);
            self.waiters[waiter].position = Some(position);
        }
    }

    /// Refuses queued requests that can no longer be answered before their deadline.
    fn shed_late(&mut self, now: Duration, key: ServiceKey) {
        let service = &self.services[key];
        let run = service.mean_service_time();
        let mut late: Vec<WaiterKey> = Vec::new();
        for (ahead, (_, waiter)) in service.queue.iter().enumerate() {
            let wait = service.wait_behind(ahead - late.len());
            if now + wait + run > self.waiters[waiter].due {
                late.push(waiter);
            }
        }
        for waiter in late {
            self.shed(waiter, NotRunReason::DeadlinePassed);
        }
    }

    /// Updates this entry's equal share of the service's usable slots.
    fn update_own_slots(&mut self, key: ServiceKey) {
        let service = &self.services[key];
        let upstreams = service.upstreams.iter().map(|key| &self.upstreams[*key]);
        let usable = upstreams.filter(|upstream| upstream.takes_new_work());
        let slots: u32 = usable
            .map(|u| u32::from(u.health.cap(u.announcement.slots)))
            .sum();
        let entries = u32::try_from(self.live.len().max(1)).unwrap_or(u32::MAX);
        self.services[key].own_slots = f64::from(slots) / f64::from(entries);
    }

    fn schedule_tick(&mut self, now: Duration) {
        let waiting = self
            .services
            .values()
            .any(|service| !service.queue.is_empty());
        let mut next = now
            + if waiting {
                QUEUE_CHECK_INTERVAL
            } else {
                MAX_INTERVAL
            };
        if let Some((until, _)) = self.delayed.first() {
            next = next.min(*until);
        }
        if let Some(request) = self.next_request() {
            next = next.min(request);
        }
        self.next_tick = next;
    }
}
