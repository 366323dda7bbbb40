//! One run of the experiment.

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
use super::{Figures, Scenario};

/// Time after which entries miss a lost entry.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time to live of an upstream that no longer announces itself.
const UPSTREAM_TTL: Duration = Duration::from_secs(3);
/// Time after which a connection that is not accepted is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Entry {
    router: Router,
    zone: Arc<str>,
    alive: bool,
    ticks_at: Duration,
    messages: u64,
}

/// A dispatch on its way, at an executor or ended.
#[derive(Debug, Clone, Copy)]
struct Flight {
    request: usize,
    executor: usize,
    started: Option<Duration>,
    running: bool,
}

/// One run of the experiment.
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
    flights: HashMap<(EntryId, DispatchKey), Flight>,
    waiting: HashMap<(EntryId, WaiterKey), usize>,
    ledger: Ledger,
}

impl Simulation {
    /// Creates the run of a scenario with the routers' options.
    pub fn new(scenario: Scenario, options: &RouterOptions) -> Self {
        let load = Load::new(&scenario);
        let services = scenario.services();
        let executors = scenario.upstreams().into_iter().map(|news| {
            let service = services.iter().position(|spec| spec.name == news.service);
            Executor::new(news, service.unwrap_or(0))
        });
        let mut simulation = Self {
            policy: options.policy,
            now: Duration::ZERO,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed() ^ 1),
            load,
            events: EventQueue::default(),
            entries: Vec::new(),
            executors: executors.collect(),
            flights: HashMap::new(),
            waiting: HashMap::new(),
            ledger: Ledger::new(&scenario),
            scenario,
        };
        simulation.add_entries(options);
        simulation.plan();
        simulation
    }

    /// Runs until the last request has ended.
    pub fn run(mut self) -> Figures {
        let longest = self
            .scenario
            .services()
            .iter()
            .map(|spec| spec.deadline)
            .max();
        let end = self.scenario.end() + longest.unwrap_or_default();
        while let Some((at, event)) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.step(event);
        }
        let sent: u64 = self.entries.iter().map(|entry| entry.messages).sum();
        let seconds = end.as_secs_f64() * f64::from(self.scenario.entries());
        self.ledger.figures.messages_per_s = Duration::from_secs(sent).as_secs_f64() / seconds;
        let capacity = self.capacity();
        self.ledger.finish(&self.scenario, &capacity)
    }

    fn add_entries(&mut self, options: &RouterOptions) {
        let all: Vec<EntryId> = (0..self.scenario.entries()).map(EntryId::new).collect();
        for entry in &all {
            let zone: Arc<str> = self.scenario.zone_of(*entry).into();
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
                router.upsert_upstream(Duration::ZERO, &executor.news);
            }
            self.events.push(Duration::ZERO, Event::Tick(*entry));
            self.entries.push(Entry {
                router,
                zone,
                alive: true,
                ticks_at: Duration::ZERO,
                messages: 0,
            });
        }
    }

    fn plan(&mut self) {
        for service in 0..self.scenario.services().len() {
            let start = self.scenario.start();
            self.events.push(start, Event::Arrival(service));
            let first = self.executors.iter().position(|e| e.service == service);
            let leaves = Event::Leaves(first.unwrap_or(0));
            self.events.push(self.scenario.leaves_at(service), leaves);
        }
        if let Some((at, entry)) = self.scenario.entry_lost() {
            self.events.push(at, Event::EntryLost(entry));
            self.events
                .push(at + FAILURE_TIMEOUT, Event::EntryMissed(entry));
        }
        if let Some((at, zone)) = self.scenario.zone_lost() {
            self.events.push(at, Event::ZoneLost(zone));
            self.events
                .push(at + UPSTREAM_TTL, Event::ZoneExpired(zone));
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival(service) => self.arrive(service),
            Event::Reaches(entry, key) => self.reach(entry, key),
            Event::Ran(entry, key) => self.ran(entry, key),
            Event::Ends(entry, key, ending) => self.end(entry, key, ending),
            Event::Tick(entry) => self.tick(entry),
            Event::Message(from, to, msg) => self.message(from, to, msg),
            Event::EntryLost(entry) => self.lose_entry(entry),
            Event::EntryMissed(entry) => self.miss_entry(entry),
            Event::ZoneLost(zone) => self.lose_zone(zone),
            Event::ZoneExpired(zone) => self.expire_zone(zone),
            Event::Leaves(executor) => self.leave(executor),
            Event::HearsLeaving(entry, executor) => self.hear_leaving(entry, executor),
        }
    }

    fn entry(&mut self, entry: EntryId) -> &mut Entry {
        &mut self.entries[usize::from(entry.number())]
    }

    fn arrive(&mut self, service: usize) {
        let now = self.now;
        if now >= self.scenario.end() {
            return;
        }
        let pause = self.load.pause(self.scenario.rate(service, now));
        self.events.push(now + pause, Event::Arrival(service));
        let arrival = self.load.next(now, &self.scenario, service);
        let entry = arrival.entry;
        let req = Request {
            service: Arc::clone(&self.scenario.services()[service].name),
            caller: Arc::clone(&arrival.name),
            zone: None,
            deadline: Some(arrival.deadline),
            idempotent: arrival.idempotent,
        };
        let request = self.ledger.open(now, service, arrival);
        match self.entry(entry).router.admit(now, req) {
            Admission::Run(dispatch) => self.send(entry, request, &dispatch),
            Admission::Wait(waiter) => {
                self.waiting.insert((entry, waiter), request);
            }
            Admission::Refuse(refusal) => {
                let outcome = Outcome::NotRun {
                    reason: refusal.reason,
                    retry_after: refusal.retry_after,
                };
                self.ledger.close(now, request, outcome);
            }
        }
        self.carry_out(entry);
    }

    fn send(&mut self, entry: EntryId, request: usize, dispatch: &Dispatch) {
        let executor = usize::from(dispatch.address.port() - 10_000);
        let flight = Flight {
            request,
            executor,
            started: None,
            running: false,
        };
        self.flights.insert((entry, dispatch.key), flight);
        let target = &self.executors[executor];
        if let Some(left) = target.left_at {
            let since = self.now.saturating_sub(left).as_secs_f64() * 1_000.0;
            self.ledger.figures.leaving_ms = self.ledger.figures.leaving_ms.max(since);
        }
        if !target.alive {
            let given_up = Event::Ends(entry, dispatch.key, DispatchOutcome::NotSent);
            self.events.push(self.now + CONNECT_TIMEOUT, given_up);
            return;
        }
        let delay = self.delay_to(entry, executor);
        let reaches = Event::Reaches(entry, dispatch.key);
        self.events.push(self.now + delay, reaches);
        let timed_out = DispatchOutcome::Lost(UnknownReason::TimedOut);
        let due = Event::Ends(entry, dispatch.key, timed_out);
        self.events.push(dispatch.due, due);
    }

    fn delay_to(&self, entry: EntryId, executor: usize) -> Duration {
        let from = &self.entries[usize::from(entry.number())].zone;
        self.scenario
            .delay(from, &self.executors[executor].news.zone)
    }

    fn reach(&mut self, entry: EntryId, key: DispatchKey) {
        let Some(flight) = self.flights.get_mut(&(entry, key)) else {
            return;
        };
        let executor = &mut self.executors[flight.executor];
        if !executor.alive {
            return;
        }
        if executor.is_full() {
            let two_choices = self.policy == SlotPolicy::TwoChoices;
            self.ledger.figures.over_slots += u64::from(!two_choices);
            self.ledger.figures.refused_by_executor += 1;
            let at = self.now + self.delay_to(entry, self.flights[&(entry, key)].executor);
            self.events
                .push(at, Event::Ends(entry, key, DispatchOutcome::Refused));
            return;
        }
        executor.running += 1;
        flight.running = true;
        flight.started = Some(self.now);
        let request = flight.request;
        self.ledger.start(request);
        let run = self.ledger.records[request].arrival.run;
        self.events.push(self.now + run, Event::Ran(entry, key));
    }

    /// A run ends; the answer is sent even if nobody waits for it any more.
    fn ran(&mut self, entry: EntryId, key: DispatchKey) {
        let Some(flight) = self.flights.get_mut(&(entry, key)) else {
            return;
        };
        let executor = &mut self.executors[flight.executor];
        if !executor.alive {
            return;
        }
        if flight.running {
            executor.running -= 1;
            flight.running = false;
        }
        let (index, started) = (flight.executor, flight.started.unwrap_or(self.now));
        self.ledger.records[flight.request].ran = (started, self.now);
        let answered = DispatchOutcome::Answered { faulty: false };
        let at = self.now + self.delay_to(entry, index);
        self.events.push(at, Event::Ends(entry, key, answered));
    }

    fn end(&mut self, entry: EntryId, key: DispatchKey, ending: DispatchOutcome) {
        let now = self.now;
        if !self.entry(entry).alive {
            return;
        }
        let next = self.entry(entry).router.finish(now, key, ending);
        let Some(next) = next else {
            return;
        };
        let Some(flight) = self.flights.remove(&(entry, key)) else {
            self.ledger.figures.crossed += 1;
            return;
        };
        let executor = &mut self.executors[flight.executor];
        if flight.running && executor.alive {
            executor.running -= 1;
        }
        if matches!(ending, DispatchOutcome::NotSent | DispatchOutcome::Lost(_)) {
            self.ledger.set_back(now, entry, executor.service);
        }
        match next {
            NextStep::Done(outcome) => self.ledger.close(now, flight.request, outcome),
            NextStep::Run(dispatch) => self.send(entry, flight.request, &dispatch),
            NextStep::Wait(waiter) => {
                self.waiting.insert((entry, waiter), flight.request);
            }
        }
        self.carry_out(entry);
    }

    fn tick(&mut self, entry: EntryId) {
        let now = self.now;
        let known = self.entry(entry);
        if !known.alive || known.ticks_at != now {
            return;
        }
        known.router.tick(now);
        known.ticks_at = Duration::MAX;
        self.carry_out(entry);
    }

    fn carry_out(&mut self, entry: EntryId) {
        let now = self.now;
        for action in self.entry(entry).router.take_actions() {
            match action {
                RouterAction::Run(waiter, dispatch) => {
                    if let Some(request) = self.waiting.remove(&(entry, waiter)) {
                        self.send(entry, request, &dispatch);
                    }
                }
                RouterAction::Done(waiter, outcome) => {
                    if let Some(request) = self.waiting.remove(&(entry, waiter)) {
                        self.ledger.close(now, request, outcome);
                    }
                }
                RouterAction::Send(to, msg) => self.post(entry, to, msg),
            }
        }
        let known = self.entry(entry);
        let next = known.router.next_tick().max(now);
        if next < known.ticks_at {
            known.ticks_at = next;
            self.events.push(next, Event::Tick(entry));
        }
    }

    fn post(&mut self, from: EntryId, to: EntryId, msg: SlotMessage) {
        self.entry(from).messages += 1;
        let zone = Arc::clone(&self.entry(from).zone);
        let delay = self
            .scenario
            .delay(&zone, &self.entries[usize::from(to.number())].zone);
        self.events
            .push(self.now + delay, Event::Message(from, to, msg));
    }

    fn message(&mut self, from: EntryId, to: EntryId, msg: SlotMessage) {
        let now = self.now;
        if self.entry(to).alive {
            self.entry(to).router.receive(now, from, msg);
            self.carry_out(to);
        }
    }

    /// The slots' time of each service in its surge, without what was lost or left.
    fn capacity(&self) -> Vec<Duration> {
        let services = 0..self.scenario.services().len();
        let slots_time = |service| {
            let surge = self.scenario.surge(service);
            let executors = self.executors.iter().filter(move |e| e.service == service);
            executors
                .map(|e| overlap((Duration::ZERO, e.until()), surge) * u32::from(e.news.slots))
                .sum()
        };
        services.map(slots_time).collect()
    }
}
