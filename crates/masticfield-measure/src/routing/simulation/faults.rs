//! Lost entries, lost availability zones and leaving upstreams.

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

/// Time after which a broken connection is noticed.
const BREAK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval after which unacknowledged news of a leaving upstream is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Share of the datagrams with such news that are lost.
const NEWS_LOSS: f64 = 1.0 / 3.0;

impl Simulation {
    pub(super) fn lose_entry(&mut self, entry: EntryId) {
        self.load.lose(entry);
        self.entry(entry).alive = false;
        let waiting = self.waiting.iter().filter(|((at, _), _)| *at == entry);
        let waiting: Vec<usize> = waiting.map(|(_, request)| *request).collect();
        let flying = self.flights.iter().filter(|((at, _), _)| *at == entry);
        let flying: Vec<usize> = flying.map(|(_, flight)| flight.request).collect();
        for request in waiting.into_iter().chain(flying) {
            self.ledger.records[request].lost = true;
        }
    }

    pub(super) fn miss_entry(&mut self, lost: EntryId) {
        let now = self.now;
        let all: Vec<EntryId> = (0..self.scenario.entries()).map(EntryId::new).collect();
        let live: Vec<EntryId> = all.iter().copied().filter(|id| *id != lost).collect();
        for entry in live.clone() {
            self.entry(entry).router.set_entries(now, &all, &live);
            for service in 0..self.scenario.services().len() {
                self.ledger.set_back(now, entry, service);
            }
            self.carry_out(entry);
        }
    }

    pub(super) fn lose_zone(&mut self, zone: &str) {
        let in_zone = |executor: &&mut Executor| &*executor.news.zone == zone;
        for executor in self.executors.iter_mut().filter(in_zone) {
            executor.alive = false;
            executor.running = 0;
            executor.lost_at = Some(self.now);
        }
        let broken = DispatchOutcome::Lost(UnknownReason::ConnectionLost);
        let flights = self
            .flights
            .iter()
            .filter(|(_, f)| !self.executors[f.executor].alive);
        let mut keys: Vec<_> = flights.map(|(key, _)| *key).collect();
        keys.sort_unstable();
        for (entry, key) in keys {
            let at = self.now + BREAK_TIMEOUT;
            self.events.push(at, Event::Ends(entry, key, broken));
        }
    }

    pub(super) fn expire_zone(&mut self, zone: &str) {
        let now = self.now;
        let expired = self.executors.iter().filter(|e| &*e.news.zone == zone);
        let expired: Vec<_> = expired.map(|e| Arc::clone(&e.news.id)).collect();
        for number in 0..self.scenario.entries() {
            let entry = EntryId::new(number);
            for id in &expired {
                self.entry(entry)
                    .router
                    .remove_upstream(id, Incarnation::new(1));
            }
            for service in 0..self.scenario.services().len() {
                self.ledger.set_back(now, entry, service);
            }
        }
    }

    pub(super) fn leave(&mut self, executor: usize) {
        self.executors[executor].news.state = UpstreamState::Leaving;
        self.executors[executor].left_at = Some(self.now);
        let told = self.rng.random_range(0..self.scenario.entries());
        for number in 0..self.scenario.entries() {
            let mut at = self.now;
            while number != told && self.rng.random_bool(NEWS_LOSS) {
                at += REPEAT_INTERVAL;
            }
            let entry = EntryId::new(number);
            let delay = self.delay_to(entry, executor);
            self.events
                .push(at + delay, Event::HearsLeaving(entry, executor));
        }
    }

    pub(super) fn hear_leaving(&mut self, entry: EntryId, executor: usize) {
        let now = self.now;
        let (news, service) = (
            &self.executors[executor].news,
            self.executors[executor].service,
        );
        let news = news.clone();
        self.entry(entry).router.upsert_upstream(now, &news);
        self.ledger.set_back(now, entry, service);
        self.carry_out(entry);
    }
}
