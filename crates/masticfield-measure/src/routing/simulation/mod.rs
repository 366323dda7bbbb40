//! Discrete-event simulation of entries and executors.

mod faults;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation, WaiterKey};
use masticfield_core::outcome::{Outcome, UnknownReason};
use masticfield_routing::options::RouterOptions;
use masticfield_routing::request::{
    Admission, Dispatch, DispatchKey, DispatchOutcome, NextStep, Request, RouterAction,
};
use masticfield_routing::router::{Router, RouterIdentity};
use masticfield_routing::slots::{SlotMessage, SlotPolicy};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use super::event::{Event, EventQueue};
use super::executor::Executor;
use super::ledger::{Ledger, overlap};
use super::load::Load;
use super::{Report, Scenario};

/// Time after which the other entries detect the failure of an entry.
const FAILURE_DETECTION_DELAY: Duration = Duration::from_millis(1_500);
/// Time to live of an upstream that no longer announces itself.
const UPSTREAM_TTL: Duration = Duration::from_secs(3);
/// Time after which an entry gives up a connection that is not accepted.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Simulated entry.
#[derive(Debug)]
struct Entry {
    router: Router,
    zone: Arc<str>,
    alive: bool,
    /// Time of the next scheduled tick; ticks scheduled for other times are ignored.
    next_tick: Duration,
    /// Number of slot messages sent.
    messages: u64,
}

/// Dispatch whose outcome its entry does not know yet; `request` indexes the ledger.
#[derive(Debug, Clone, Copy)]
struct InFlightDispatch {
    request: usize,
    executor: usize,
    started_at: Option<Duration>,
    running: bool,
}

/// Simulation of a scenario with one choice of router options.
#[derive(Debug)]
pub struct Simulation {
    scenario: Scenario,
    policy: SlotPolicy,
    now: Duration,
    rng: ChaCha8Rng,
    load: Load,
    events: EventQueue,
    entries: Vec<Entry>,
    executors: Vec<Executor>,
    in_flight: HashMap<(EntryId, DispatchKey), InFlightDispatch>,
    waiting: HashMap<(EntryId, WaiterKey), usize>,
    ledger: Ledger,
}

impl Simulation {
    /// Creates a simulation in which all routers have the same options.
    pub fn new(scenario: Scenario, options: &RouterOptions) -> Self {
        let load = Load::new(&scenario);
        let services = scenario.services();
        let executors = scenario.upstreams().into_iter().map(|announcement| {
            let service = services
                .iter()
                .position(|spec| spec.name == announcement.service);
            Executor::new(announcement, service.unwrap_or(0))
        });
        let mut simulation = Self {
            policy: options.policy,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed() ^ 1),
            load,
            events: EventQueue::default(),
            entries: Vec::new(),
            executors: executors.collect(),
            in_flight: HashMap::new(),
            waiting: HashMap::new(),
            ledger: Ledger::new(&scenario),
            scenario,
        };
        simulation.add_entries(options);
        simulation.schedule_events();
        simulation
    }

    /// Runs until the deadline of the last request and returns the results.
    pub fn run(mut self) -> Report {
        let longest_deadline = self
            .scenario
            .services()
            .iter()
            .map(|spec| spec.deadline)
            .max();
        let end = self.scenario.arrivals_end_at() + longest_deadline.unwrap_or_default();
        while let Some((time, event)) = self.events.pop() {
            if time > end {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        let messages: u64 = self.entries.iter().map(|entry| entry.messages).sum();
        let seconds = end.as_secs_f64() * f64::from(self.scenario.entries());
        self.ledger.report.messages_per_s = Duration::from_secs(messages).as_secs_f64() / seconds;
        let capacity = self.surge_capacity();
        self.ledger.finish(&self.scenario, &capacity)
    }

    fn add_entries(&mut self, options: &RouterOptions) {
        let all: Vec<EntryId> = (0..self.scenario.entries()).map(EntryId::new).collect();
        for entry in &all {
            let zone: Arc<str> = self.scenario.entry_zone(*entry).into();
            let identity = RouterIdentity {
                entry: *entry,
                incarnation: Incarnation::new(1),
                zone: Arc::clone(&zone),
            };
            let seed = self.scenario.seed() << 8 | u64::from(entry.number());
            let mut router = Router::new(identity, options.clone(), seed);
            router.configure(self.scenario.services());
            router.set_entries(Duration::ZERO, &all, &all);
            for executor in &self.executors {
                router.upsert_upstream(Duration::ZERO, &executor.announcement);
            }
            self.events.push(Duration::ZERO, Event::Tick(*entry));
            self.entries.push(Entry {
                router,
                zone,
                alive: true,
                next_tick: Duration::ZERO,
                messages: 0,
            });
        }
    }

    /// Schedules the first requests, the leaving upstreams and the faults.
    fn schedule_events(&mut self) {
        for service in 0..self.scenario.services().len() {
            let start = self.scenario.first_arrivals_at();
            self.events.push(start, Event::RequestArrives(service));
            let first = self
                .executors
                .iter()
                .position(|executor| executor.service == service);
            let leaves = Event::UpstreamLeaves(first.unwrap_or(0));
            self.events
                .push(self.scenario.first_upstream_leaves_at(service), leaves);
        }
        if let Some((time, entry)) = self.scenario.entry_failure() {
            self.events.push(time, Event::EntryFails(entry));
            self.events.push(
                time + FAILURE_DETECTION_DELAY,
                Event::EntryFailureDetected(entry),
            );
        }
        if let Some((time, zone)) = self.scenario.zone_failure() {
            self.events.push(time, Event::ZoneFails(zone));
            self.events
                .push(time + UPSTREAM_TTL, Event::ZoneExpires(zone));
        }
    }

    /// Processes one event at the current time.
    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrives(service) => self.admit_request(service),
            Event::DispatchArrives(entry, key) => self.start_run(entry, key),
            Event::RunFinishes(entry, key) => self.finish_run(entry, key),
            Event::DispatchEnds(entry, key, outcome) => self.end_dispatch(entry, key, outcome),
            Event::Tick(entry) => self.tick(entry),
            Event::MessageArrives(from, to, message) => self.receive_message(from, to, message),
            Event::EntryFails(entry) => self.fail_entry(entry),
            Event::EntryFailureDetected(entry) => self.detect_entry_failure(entry),
            Event::ZoneFails(zone) => self.fail_zone(zone),
            Event::ZoneExpires(zone) => self.expire_zone(zone),
            Event::UpstreamLeaves(executor) => self.start_leaving(executor),
            Event::LeavingReceived(entry, executor) => self.receive_leaving(entry, executor),
        }
    }

    fn entry(&mut self, entry: EntryId) -> &mut Entry {
        &mut self.entries[usize::from(entry.number())]
    }

    fn admit_request(&mut self, service: usize) {
        let now = self.now;
        if now >= self.scenario.arrivals_end_at() {
            return;
        }
        let interval = self.load.next_interval(self.scenario.rate(service, now));
        self.events
            .push(now + interval, Event::RequestArrives(service));
        let arrival = self.load.next_arrival(now, &self.scenario, service);
        let entry = arrival.entry;
        let router_request = Request {
            service: Arc::clone(&self.scenario.services()[service].name),
            caller: Arc::clone(&arrival.name),
            zone: None,
            deadline: Some(arrival.deadline),
            idempotent: arrival.idempotent,
        };
        let request = self.ledger.record_arrival(now, service, arrival);
        match self.entry(entry).router.admit(now, router_request) {
            Admission::Run(dispatch) => self.send_dispatch(entry, request, &dispatch),
            Admission::Wait(waiter) => {
                self.waiting.insert((entry, waiter), request);
            }
            Admission::Refuse(refusal) => {
                let outcome = Outcome::NotRun {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                };
                self.ledger.record_outcome(now, request, outcome);
            }
        }
        self.perform_actions(entry);
    }

    fn send_dispatch(&mut self, entry: EntryId, request: usize, dispatch: &Dispatch) {
        let executor = usize::from(dispatch.address.port() - 10_000);
        let dispatched = InFlightDispatch {
            request,
            executor,
            started_at: None,
            running: false,
        };
        self.in_flight.insert((entry, dispatch.key), dispatched);
        let target = &self.executors[executor];
        if let Some(leaving_since) = target.leaving_since {
            let since_leaving = self.now.saturating_sub(leaving_since).as_secs_f64() * 1_000.0;
            self.ledger.report.leaving_ms = self.ledger.report.leaving_ms.max(since_leaving);
        }
        if !target.alive {
            let not_sent = Event::DispatchEnds(entry, dispatch.key, DispatchOutcome::NotSent);
            self.events.push(self.now + CONNECT_TIMEOUT, not_sent);
            return;
        }
        let delay = self.delay_to(entry, executor);
        let arrives = Event::DispatchArrives(entry, dispatch.key);
        self.events.push(self.now + delay, arrives);
        let timed_out = DispatchOutcome::Lost(UnknownReason::TimedOut);
        let expires = Event::DispatchEnds(entry, dispatch.key, timed_out);
        self.events.push(dispatch.due, expires);
    }

    fn delay_to(&self, entry: EntryId, executor: usize) -> Duration {
        let from = &self.entries[usize::from(entry.number())].zone;
        self.scenario
            .delay(from, &self.executors[executor].announcement.zone)
    }

    fn start_run(&mut self, entry: EntryId, key: DispatchKey) {
        let Some(dispatched) = self.in_flight.get_mut(&(entry, key)) else {
            return;
        };
        let executor = &mut self.executors[dispatched.executor];
        if !executor.alive {
            return;
        }
        if executor.is_full() {
            let two_choices = self.policy == SlotPolicy::TwoChoices;
            self.ledger.report.over_slots += u64::from(!two_choices);
            self.ledger.report.refused_by_executor += 1;
            let response_at =
                self.now + self.delay_to(entry, self.in_flight[&(entry, key)].executor);
            self.events.push(
                response_at,
                Event::DispatchEnds(entry, key, DispatchOutcome::Refused),
            );
            return;
        }
        executor.running += 1;
        dispatched.running = true;
        dispatched.started_at = Some(self.now);
        let request = dispatched.request;
        self.ledger.record_start(request);
        let run_time = self.ledger.records[request].arrival.run_time;
        self.events
            .push(self.now + run_time, Event::RunFinishes(entry, key));
    }

    /// Finishes a run and sends the response, even if the entry no longer waits for it.
    fn finish_run(&mut self, entry: EntryId, key: DispatchKey) {
        let Some(dispatched) = self.in_flight.get_mut(&(entry, key)) else {
            return;
        };
        let executor = &mut self.executors[dispatched.executor];
        if !executor.alive {
            return;
        }
        if dispatched.running {
            executor.running -= 1;
            dispatched.running = false;
        }
        let (executor, started_at) = (
            dispatched.executor,
            dispatched.started_at.unwrap_or(self.now),
        );
        self.ledger.records[dispatched.request].run = (started_at, self.now);
        let answered = DispatchOutcome::Answered { faulty: false };
        let response_at = self.now + self.delay_to(entry, executor);
        self.events
            .push(response_at, Event::DispatchEnds(entry, key, answered));
    }

    fn end_dispatch(&mut self, entry: EntryId, key: DispatchKey, outcome: DispatchOutcome) {
        let now = self.now;
        if !self.entry(entry).alive {
            return;
        }
        let next = self.entry(entry).router.finish(now, key, outcome);
        let Some(next) = next else {
            return;
        };
        let Some(dispatched) = self.in_flight.remove(&(entry, key)) else {
            self.ledger.report.crossed += 1;
            return;
        };
        let executor = &mut self.executors[dispatched.executor];
        if dispatched.running && executor.alive {
            executor.running -= 1;
        }
        if matches!(outcome, DispatchOutcome::NotSent | DispatchOutcome::Lost(_)) {
            self.ledger
                .record_capacity_loss(now, entry, executor.service);
        }
        match next {
            NextStep::Done(outcome) => self.ledger.record_outcome(now, dispatched.request, outcome),
            NextStep::Run(dispatch) => self.send_dispatch(entry, dispatched.request, &dispatch),
            NextStep::Wait(waiter) => {
                self.waiting.insert((entry, waiter), dispatched.request);
            }
        }
        self.perform_actions(entry);
    }

    fn tick(&mut self, entry: EntryId) {
        let now = self.now;
        let state = self.entry(entry);
        if !state.alive || state.next_tick != now {
            return;
        }
        state.router.tick(now);
        state.next_tick = Duration::MAX;
        self.perform_actions(entry);
    }

    /// Performs the actions that the router of an entry requests, and schedules its next tick.
    fn perform_actions(&mut self, entry: EntryId) {
        let now = self.now;
        for action in self.entry(entry).router.take_actions() {
            match action {
                RouterAction::Run(waiter, dispatch) => {
                    if let Some(request) = self.waiting.remove(&(entry, waiter)) {
                        self.send_dispatch(entry, request, &dispatch);
                    }
                }
                RouterAction::Done(waiter, outcome) => {
                    if let Some(request) = self.waiting.remove(&(entry, waiter)) {
                        self.ledger.record_outcome(now, request, outcome);
                    }
                }
                RouterAction::Send(to, message) => self.send_message(entry, to, message),
            }
        }
        let state = self.entry(entry);
        let next_tick = state.router.next_tick().max(now);
        if next_tick < state.next_tick {
            state.next_tick = next_tick;
            self.events.push(next_tick, Event::Tick(entry));
        }
    }

    fn send_message(&mut self, from: EntryId, to: EntryId, message: SlotMessage) {
        self.entry(from).messages += 1;
        let zone = Arc::clone(&self.entry(from).zone);
        let delay = self
            .scenario
            .delay(&zone, &self.entries[usize::from(to.number())].zone);
        self.events
            .push(self.now + delay, Event::MessageArrives(from, to, message));
    }

    fn receive_message(&mut self, from: EntryId, to: EntryId, message: SlotMessage) {
        let now = self.now;
        if self.entry(to).alive {
            self.entry(to).router.receive(now, from, message);
            self.perform_actions(to);
        }
    }

    /// Slot time of each service in its surge, without executors that have failed or left.
    fn surge_capacity(&self) -> Vec<Duration> {
        let services = 0..self.scenario.services().len();
        let slot_time = |service| {
            let surge = self.scenario.surge(service);
            let executors = self
                .executors
                .iter()
                .filter(move |executor| executor.service == service);
            executors
                .map(|executor| {
                    overlap((Duration::ZERO, executor.capacity_end()), surge)
                        * u32::from(executor.announcement.slots)
                })
                .sum()
        };
        services.map(slot_time).collect()
    }
}
