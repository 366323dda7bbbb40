//! Failing entries, failing availability zones and leaving upstreams.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::UpstreamState;
use masticfield_core::outcome::UnknownReason;
use masticfield_routing::request::DispatchOutcome;
use rand::RngExt;

use super::Simulation;
use crate::routing::event::Event;
use crate::routing::executor::Executor;

/// Time after which an entry detects a broken connection.
const BREAK_DETECTION_DELAY: Duration = Duration::from_secs(1);
/// Interval at which the unacknowledged announcement of a leaving upstream is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Share of lost datagrams among those that carry the announcement of a leaving upstream.
const ANNOUNCEMENT_LOSS: f64 = 1.0 / 3.0;

impl Simulation {
    pub(super) fn fail_entry(&mut self, entry: EntryId) {
        self.load.remove_entry(entry);
        self.entry(entry).alive = false;
        let waiting = self
            .waiting
            .iter()
            .filter(|((owner, _), _)| *owner == entry);
        let waiting: Vec<usize> = waiting.map(|(_, request)| *request).collect();
        let in_flight = self
            .in_flight
            .iter()
            .filter(|((owner, _), _)| *owner == entry);
        let in_flight: Vec<usize> = in_flight
            .map(|(_, dispatched)| dispatched.request)
            .collect();
        for request in waiting.into_iter().chain(in_flight) {
            self.ledger.records[request].lost = true;
        }
    }

    pub(super) fn detect_entry_failure(&mut self, lost: EntryId) {
        let now = self.now;
        let all: Vec<EntryId> = (0..self.scenario.entries()).map(EntryId::new).collect();
        let live: Vec<EntryId> = all.iter().copied().filter(|id| *id != lost).collect();
        for entry in live.clone() {
            self.entry(entry).router.set_entries(now, &all, &live);
            for service in 0..self.scenario.services().len() {
                self.ledger.record_capacity_loss(now, entry, service);
            }
            self.perform_actions(entry);
        }
    }

    pub(super) fn fail_zone(&mut self, zone: &str) {
        let in_zone = |executor: &&mut Executor| &*executor.announcement.zone == zone;
        for executor in self.executors.iter_mut().filter(in_zone) {
            executor.alive = false;
            executor.running = 0;
            executor.failed_at = Some(self.now);
        }
        let broken = DispatchOutcome::Lost(UnknownReason::ConnectionLost);
        let in_flight = self
            .in_flight
            .iter()
            .filter(|(_, dispatched)| !self.executors[dispatched.executor].alive);
        let mut keys: Vec<_> = in_flight.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        for (entry, key) in keys {
            let detected_at = self.now + BREAK_DETECTION_DELAY;
            self.events
                .push(detected_at, Event::DispatchEnds(entry, key, broken));
        }
    }

    pub(super) fn expire_zone(&mut self, zone: &str) {
        let now = self.now;
        let expired = self
            .executors
            .iter()
            .filter(|executor| &*executor.announcement.zone == zone);
        let expired: Vec<_> = expired
            .map(|executor| Arc::clone(&executor.announcement.id))
            .collect();
        for number in 0..self.scenario.entries() {
            let entry = EntryId::new(number);
            for id in &expired {
                self.entry(entry)
                    .router
                    .remove_upstream(id, Incarnation::new(1));
            }
            for service in 0..self.scenario.services().len() {
                self.ledger.record_capacity_loss(now, entry, service);
            }
        }
    }

    /// Marks an executor as leaving and schedules when each entry receives its announcement.
    ///
    /// One random entry receives the announcement without loss; datagrams to the others may be
    /// lost, and are repeated.
    pub(super) fn start_leaving(&mut self, executor: usize) {
        self.executors[executor].announcement.state = UpstreamState::Leaving;
        self.executors[executor].leaving_since = Some(self.now);
        let lossless_entry = self.rng.random_range(0..self.scenario.entries());
        for number in 0..self.scenario.entries() {
            let mut sent_at = self.now;
            while number != lossless_entry && self.rng.random_bool(ANNOUNCEMENT_LOSS) {
                sent_at += REPEAT_INTERVAL;
            }
            let entry = EntryId::new(number);
            let delay = self.delay_to(entry, executor);
            self.events
                .push(sent_at + delay, Event::LeavingReceived(entry, executor));
        }
    }

    pub(super) fn receive_leaving(&mut self, entry: EntryId, executor: usize) {
        let now = self.now;
        let (announcement, service) = (
            &self.executors[executor].announcement,
            self.executors[executor].service,
        );
        let announcement = announcement.clone();
        self.entry(entry).router.upsert_upstream(now, &announcement);
        self.ledger.record_capacity_loss(now, entry, service);
        self.perform_actions(entry);
    }
}
