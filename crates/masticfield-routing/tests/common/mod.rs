//! Routers, a lossy network between them and two upstreams, simulated on a virtual clock.

mod faults;
mod op;
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use masticfield_core::ids::{Incarnation, WaiterKey};
use masticfield_core::outcome::{Outcome, UnknownReason};
use masticfield_routing::guards::Guards;
use masticfield_routing::options::RouterOptions;
use masticfield_routing::request::{
    Admission, Dispatch, DispatchOutcome, NextStep, Request, RouterAction,
};
use masticfield_routing::router::{Router, RouterIdentity};
use masticfield_routing::slots::SlotMessage;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use op::Op;
use world::{SLOTS, announcement, id, spec};

pub const ENTRIES: usize = 5;
const STEP: Duration = Duration::from_millis(5);

/// A violated property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An upstream had more requests in flight than slots.
    SlotsExceeded,
    /// A request had no final outcome, or several.
    NotOneOutcome,
    /// A request that may have run was reported as not run.
    NotRunButSent,
    /// A request that is not idempotent was sent although an earlier attempt may have run.
    SentTwice,
    /// A request was sent to an upstream that leaves.
    SentAfterLeaving,
}

/// A request at an upstream.
#[derive(Debug)]
struct Exchange {
    entry: usize,
    request: usize,
    dispatch: Dispatch,
    upstream: usize,
    due: Duration,
}

/// What became of a request so far.
#[derive(Debug, Default)]
struct RequestState {
    idempotent: bool,
    outcomes: u32,
    /// Whether one of its dispatches may have run.
    may_have_run: bool,
    /// Whether its entry was lost before it had an outcome.
    abandoned: bool,
}

#[derive(Debug)]
struct Entry {
    router: Router,
    started: Duration,
    alive: bool,
    stopped: bool,
    waiting: BTreeMap<WaiterKey, usize>,
    /// Bit set of the entries that this entry considers live.
    view: u8,
}

/// The simulated entries, the network between them and the requests in flight.
#[derive(Debug)]
pub struct Network {
    now: Duration,
    rng: ChaCha8Rng,
    guards: Guards,
    entries: Vec<Entry>,
    /// Pairs of sender and receiver whose link is cut.
    cut: Vec<(usize, usize)>,
    /// Messages on their way: arrival time, sender, receiver.
    messages: Vec<(Duration, usize, usize, SlotMessage)>,
    exchanges: Vec<Exchange>,
    requests: Vec<RequestState>,
    leaving: Vec<bool>,
}

impl Network {
    pub fn new(seed: u64, guards: Guards) -> Self {
        let mut network = Self {
            now: Duration::from_secs(10),
            rng: ChaCha8Rng::seed_from_u64(seed),
            guards,
            entries: Vec::new(),
            cut: Vec::new(),
            messages: Vec::new(),
            exchanges: Vec::new(),
            requests: Vec::new(),
            leaving: vec![false; 2],
        };
        for number in 0..ENTRIES {
            let started = Duration::from_millis(1_700 * number as u64);
            let entry = network.entry(number, started, 1);
            network.entries.push(entry);
        }
        network.publish_views();
        network
    }

    /// Applies the operations, then lets all requests end, and checks the properties.
    pub fn run(&mut self, ops: &[Op]) -> Result<(), Violation> {
        self.advance(200)?;
        for op in ops {
            self.apply(op)?;
            self.check_slots()?;
        }
        self.advance(1_500)?;
        let open = |state: &&RequestState| !state.abandoned && state.outcomes != 1;
        let missing = self.requests.iter().find(open);
        missing.map_or(Ok(()), |_| Err(Violation::NotOneOutcome))
    }

    fn entry(&self, number: usize, started: Duration, incarnation: u64) -> Entry {
        let identity = RouterIdentity {
            entry: id(number),
            incarnation: Incarnation::new(incarnation),
            zone: format!("zone-{}", number % 2).into(),
        };
        let options = RouterOptions {
            grant_ttl: Duration::from_millis(300),
            grant_refresh_interval: Duration::from_millis(40),
            vote_ttl: Duration::from_millis(150),
            ..RouterOptions::default()
        };
        let mut router = Router::new(identity, options, number as u64).with_guards(self.guards);
        router.configure(&[spec()]);
        for upstream in 0..2 {
            router.upsert_upstream(
                Duration::ZERO,
                &announcement(upstream, self.leaving[upstream]),
            );
        }
        Entry {
            router,
            started,
            alive: true,
            stopped: false,
            waiting: BTreeMap::new(),
            view: u8::MAX,
        }
    }

    fn apply(&mut self, op: &Op) -> Result<(), Violation> {
        match op {
            Op::Advance(ms) => return self.advance(*ms),
            Op::Admit {
                entry,
                count,
                idempotent,
            } => {
                for _ in 0..*count {
                    self.admit(*entry, *idempotent)?;
                }
            }
            Op::Finish {
                entry,
                count,
                outcome,
            } => {
                for _ in 0..*count {
                    self.finish_one(*entry, *outcome)?;
                }
            }
            Op::Cut(a, b) => self.cut.extend([(*a, *b), (*b, *a)]),
            Op::Isolate(a) => {
                let pairs = (0..ENTRIES).flat_map(|b| [(*a, b), (b, *a)]);
                self.cut.extend(pairs.filter(|(a, b)| a != b));
            }
            Op::Heal => self.cut.clear(),
            Op::Kill(entry) => self.kill(*entry),
            Op::Restart(entry) => self.restart(*entry),
            Op::View(entry, view) => {
                self.entries[*entry].view = *view | 1 << entry;
                self.publish_views();
            }
            Op::CorrectViews => self.correct_views(),
            Op::Stop(entry) => {
                let now = self.local_time(*entry);
                self.entries[*entry].router.stop(now);
                self.entries[*entry].stopped = true;
                self.carry_out(*entry)?;
            }
            Op::Leave(upstream) => self.leave(*upstream)?,
        }
        Ok(())
    }

    fn advance(&mut self, ms: u64) -> Result<(), Violation> {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now += STEP;
            self.deliver_messages()?;
            self.time_out_exchanges()?;
            for entry in 0..ENTRIES {
                if self.entries[entry].alive {
                    let now = self.local_time(entry);
                    self.entries[entry].router.tick(now);
                    self.carry_out(entry)?;
                }
            }
            self.check_slots()?;
        }
        Ok(())
    }

    /// The time on an entry's local clock.
    fn local_time(&self, entry: usize) -> Duration {
        self.now.saturating_sub(self.entries[entry].started)
    }

    fn deliver_messages(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (due, later) = messages.into_iter().partition(|(at, ..)| *at <= now);
        self.messages = later;
        let due: Vec<_> = due;
        for (_, from, to, msg) in due {
            if self.entries[to].alive {
                let now = self.local_time(to);
                self.entries[to].router.receive(now, id(from), msg);
                self.carry_out(to)?;
            }
        }
        Ok(())
    }

    fn time_out_exchanges(&mut self) -> Result<(), Violation> {
        while let Some(index) = self.exchanges.iter().position(|e| e.due <= self.now) {
            self.end_exchange(index, DispatchOutcome::Lost(UnknownReason::TimedOut))?;
        }
        Ok(())
    }

    /// Carries out the actions of an entry's router.
    fn carry_out(&mut self, entry: usize) -> Result<(), Violation> {
        for action in self.entries[entry].router.take_actions() {
            match action {
                RouterAction::Run(waiter, dispatch) => {
                    if let Some(request) = self.entries[entry].waiting.remove(&waiter) {
                        self.send(entry, request, dispatch)?;
                    }
                }
                RouterAction::Done(waiter, outcome) => {
                    if let Some(request) = self.entries[entry].waiting.remove(&waiter) {
                        self.answer(request, outcome)?;
                    }
                }
                RouterAction::Send(to, msg) => self.transmit(entry, usize::from(to.number()), &msg),
            }
        }
        Ok(())
    }

    fn transmit(&mut self, from: usize, to: usize, msg: &SlotMessage) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.15);
            let delay = self.rng.random_range(1..if slow { 700 } else { 12 });
            let at = self.now + Duration::from_millis(delay);
            self.messages.push((at, from, to, msg.clone()));
        }
    }

    fn admit(&mut self, entry: usize, idempotent: bool) -> Result<(), Violation> {
        if !self.entries[entry].alive {
            return Ok(());
        }
        let request = self.requests.len();
        self.requests.push(RequestState {
            idempotent,
            ..RequestState::default()
        });
        let req = Request {
            service: "cutting".into(),
            caller: format!("salon-{}", request % 3).into(),
            zone: None,
            deadline: Some(Duration::from_millis(self.rng.random_range(50..400))),
            idempotent,
        };
        let now = self.local_time(entry);
        match self.entries[entry].router.admit(now, req) {
            Admission::Run(dispatch) => self.send(entry, request, dispatch)?,
            Admission::Refuse(_) => self.not_run(request)?,
            Admission::Wait(waiter) => {
                self.entries[entry].waiting.insert(waiter, request);
            }
        }
        self.carry_out(entry)
    }

    fn send(&mut self, entry: usize, request: usize, dispatch: Dispatch) -> Result<(), Violation> {
        let state = &self.requests[request];
        let open = self.exchanges.iter().any(|e| e.request == request);
        if !state.idempotent && (state.may_have_run || open) {
            return Err(Violation::SentTwice);
        }
        let upstream = usize::from(dispatch.address.port() - 9_000);
        if self.leaving[upstream] {
            return Err(Violation::SentAfterLeaving);
        }
        let due = self.entries[entry].started + dispatch.due;
        self.exchanges.push(Exchange {
            entry,
            request,
            dispatch,
            upstream,
            due,
        });
        Ok(())
    }

    fn answer(&mut self, request: usize, outcome: Outcome) -> Result<(), Violation> {
        match outcome {
            Outcome::NotRun { .. } => self.not_run(request),
            Outcome::Answered | Outcome::Unknown { .. } => self.conclude(request),
        }
    }

    fn not_run(&mut self, request: usize) -> Result<(), Violation> {
        let open = self.exchanges.iter().any(|e| e.request == request);
        if open || self.requests[request].may_have_run {
            return Err(Violation::NotRunButSent);
        }
        self.conclude(request)
    }

    fn conclude(&mut self, request: usize) -> Result<(), Violation> {
        self.requests[request].outcomes += 1;
        if self.requests[request].outcomes > 1 {
            return Err(Violation::NotOneOutcome);
        }
        Ok(())
    }

    fn finish_one(&mut self, entry: usize, outcome: usize) -> Result<(), Violation> {
        let outcomes = [
            DispatchOutcome::Answered { faulty: false },
            DispatchOutcome::Answered { faulty: true },
            DispatchOutcome::Lost(UnknownReason::ConnectionLost),
            DispatchOutcome::Refused,
            DispatchOutcome::NotSent,
        ];
        let of_entry = |e: &Exchange| e.entry == entry;
        match self.exchanges.iter().position(of_entry) {
            Some(index) if self.entries[entry].alive => self.end_exchange(index, outcomes[outcome]),
            _ => Ok(()),
        }
    }

    fn end_exchange(&mut self, index: usize, outcome: DispatchOutcome) -> Result<(), Violation> {
        let ended = self.exchanges.remove(index);
        if !self.entries[ended.entry].alive || self.requests[ended.request].abandoned {
            return Ok(());
        }
        let ran = matches!(
            outcome,
            DispatchOutcome::Answered { .. } | DispatchOutcome::Lost(_)
        );
        self.requests[ended.request].may_have_run |= ran;
        let now = self.local_time(ended.entry);
        let router = &mut self.entries[ended.entry].router;
        match router.finish(now, ended.dispatch.key, outcome) {
            Some(NextStep::Done(outcome)) => self.answer(ended.request, outcome)?,
            Some(NextStep::Run(dispatch)) => self.send(ended.entry, ended.request, dispatch)?,
            Some(NextStep::Wait(waiter)) => {
                let waiting = &mut self.entries[ended.entry].waiting;
                waiting.insert(waiter, ended.request);
            }
            None => return Err(Violation::NotOneOutcome),
        }
        self.carry_out(ended.entry)
    }

    fn check_slots(&self) -> Result<(), Violation> {
        let in_flight = |upstream| {
            self.exchanges
                .iter()
                .filter(move |e| e.upstream == upstream)
        };
        let exceeded = (0..2).any(|upstream| in_flight(upstream).count() > usize::from(SLOTS));
        if exceeded {
            Err(Violation::SlotsExceeded)
        } else {
            Ok(())
        }
    }
}
