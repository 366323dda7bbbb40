//! A few routers, a lossy network between them and two upstreams, all on one virtual clock.

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
use world::{SLOTS, id, news, spec};

pub const ENTRIES: usize = 5;
const STEP: Duration = Duration::from_millis(5);

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    SlotsExceeded,
    NotOneOutcome,
    NotRunButSent,
    SentTwice,
    SentAfterLeaving,
}

#[derive(Debug)]
struct Exchange {
    entry: usize,
    request: usize,
    dispatch: Dispatch,
    upstream: usize,
    due: Duration,
}

#[derive(Debug, Default)]
struct Fate {
    idempotent: bool,
    outcomes: u32,
    /// Whether a dispatch may have run.
    may_have_run: bool,
    abandoned: bool,
}

#[derive(Debug)]
struct Entry {
    router: Router,
    started: Duration,
    alive: bool,
    stopped: bool,
    waiting: BTreeMap<WaiterKey, usize>,
    view: u8,
}

/// The routers, the network and what is in flight.
#[derive(Debug)]
pub struct Net {
    now: Duration,
    rng: ChaCha8Rng,
    guards: Guards,
    entries: Vec<Entry>,
    cut: Vec<(usize, usize)>,
    mail: Vec<(Duration, usize, usize, SlotMessage)>,
    exchanges: Vec<Exchange>,
    fates: Vec<Fate>,
    leaving: Vec<bool>,
}

impl Net {
    pub fn new(seed: u64, guards: Guards) -> Self {
        let mut net = Self {
            now: Duration::from_secs(10),
            rng: ChaCha8Rng::seed_from_u64(seed),
            guards,
            entries: Vec::new(),
            cut: Vec::new(),
            mail: Vec::new(),
            exchanges: Vec::new(),
            fates: Vec::new(),
            leaving: vec![false; 2],
        };
        for number in 0..ENTRIES {
            let started = Duration::from_millis(1_700 * number as u64);
            let entry = net.entry(number, started, 1);
            net.entries.push(entry);
        }
        net.views();
        net
    }

    /// Carries out the steps, then lets everything end.
    pub fn run(&mut self, ops: &[Op]) -> Result<(), Violation> {
        self.advance(200)?;
        for op in ops {
            self.apply(op)?;
            self.check_slots()?;
        }
        self.advance(1_500)?;
        let open = |fate: &&Fate| !fate.abandoned && fate.outcomes != 1;
        let missing = self.fates.iter().find(open);
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
            grant_refresh: Duration::from_millis(40),
            pledge: Duration::from_millis(150),
            ..RouterOptions::default()
        };
        let mut router = Router::new(identity, options, number as u64).with_guards(self.guards);
        router.configure(&[spec()]);
        for upstream in 0..2 {
            router.upsert_upstream(Duration::ZERO, &news(upstream, self.leaving[upstream]));
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
                ending,
            } => {
                for _ in 0..*count {
                    self.finish_one(*entry, *ending)?;
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
                self.views();
            }
            Op::TrueViews => self.true_views(),
            Op::Stop(entry) => {
                let now = self.local(*entry);
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
            self.deliver()?;
            self.end_overdue()?;
            for entry in 0..ENTRIES {
                if self.entries[entry].alive {
                    let now = self.local(entry);
                    self.entries[entry].router.tick(now);
                    self.carry_out(entry)?;
                }
            }
            self.check_slots()?;
        }
        Ok(())
    }

    fn local(&self, entry: usize) -> Duration {
        self.now.saturating_sub(self.entries[entry].started)
    }

    fn deliver(&mut self) -> Result<(), Violation> {
        let now = self.now;
        let mail = std::mem::take(&mut self.mail);
        let (due, later) = mail.into_iter().partition(|(at, ..)| *at <= now);
        self.mail = later;
        let due: Vec<_> = due;
        for (_, from, to, msg) in due {
            if self.entries[to].alive {
                let now = self.local(to);
                self.entries[to].router.receive(now, id(from), msg);
                self.carry_out(to)?;
            }
        }
        Ok(())
    }

    fn end_overdue(&mut self) -> Result<(), Violation> {
        while let Some(at) = self.exchanges.iter().position(|e| e.due <= self.now) {
            self.end(at, DispatchOutcome::Lost(UnknownReason::TimedOut))?;
        }
        Ok(())
    }

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
                RouterAction::Send(to, msg) => self.post(entry, usize::from(to.number()), &msg),
            }
        }
        Ok(())
    }

    fn post(&mut self, from: usize, to: usize, msg: &SlotMessage) {
        if self.cut.contains(&(from, to)) {
            return;
        }
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
        for _ in 0..copies {
            let slow = self.rng.random_bool(0.15);
            let delay = self.rng.random_range(1..if slow { 700 } else { 12 });
            let at = self.now + Duration::from_millis(delay);
            self.mail.push((at, from, to, msg.clone()));
        }
    }

    fn admit(&mut self, entry: usize, idempotent: bool) -> Result<(), Violation> {
        if !self.entries[entry].alive {
            return Ok(());
        }
        let request = self.fates.len();
        self.fates.push(Fate {
            idempotent,
            ..Fate::default()
        });
        let req = Request {
            service: "cutting".into(),
            caller: format!("salon-{}", request % 3).into(),
            zone: None,
            deadline: Some(Duration::from_millis(self.rng.random_range(50..400))),
            idempotent,
        };
        let now = self.local(entry);
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
        let fate = &self.fates[request];
        let open = self.exchanges.iter().any(|e| e.request == request);
        if !fate.idempotent && (fate.may_have_run || open) {
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
        if open || self.fates[request].may_have_run {
            return Err(Violation::NotRunButSent);
        }
        self.conclude(request)
    }

    fn conclude(&mut self, request: usize) -> Result<(), Violation> {
        self.fates[request].outcomes += 1;
        if self.fates[request].outcomes > 1 {
            return Err(Violation::NotOneOutcome);
        }
        Ok(())
    }

    fn finish_one(&mut self, entry: usize, ending: usize) -> Result<(), Violation> {
        let endings = [
            DispatchOutcome::Answered { faulty: false },
            DispatchOutcome::Answered { faulty: true },
            DispatchOutcome::Lost(UnknownReason::ConnectionLost),
            DispatchOutcome::Refused,
            DispatchOutcome::NotSent,
        ];
        let mine = |e: &Exchange| e.entry == entry;
        match self.exchanges.iter().position(mine) {
            Some(at) if self.entries[entry].alive => self.end(at, endings[ending]),
            _ => Ok(()),
        }
    }

    fn end(&mut self, at: usize, ending: DispatchOutcome) -> Result<(), Violation> {
        let done = self.exchanges.remove(at);
        if !self.entries[done.entry].alive || self.fates[done.request].abandoned {
            return Ok(());
        }
        let ran = matches!(
            ending,
            DispatchOutcome::Answered { .. } | DispatchOutcome::Lost(_)
        );
        self.fates[done.request].may_have_run |= ran;
        let now = self.local(done.entry);
        let router = &mut self.entries[done.entry].router;
        match router.finish(now, done.dispatch.key, ending) {
            Some(NextStep::Done(outcome)) => self.answer(done.request, outcome)?,
            Some(NextStep::Run(dispatch)) => self.send(done.entry, done.request, dispatch)?,
            Some(NextStep::Wait(waiter)) => {
                let waiting = &mut self.entries[done.entry].waiting;
                waiting.insert(waiter, done.request);
            }
            None => return Err(Violation::NotOneOutcome),
        }
        self.carry_out(done.entry)
    }

    fn check_slots(&self) -> Result<(), Violation> {
        let at = |upstream| {
            self.exchanges
                .iter()
                .filter(move |e| e.upstream == upstream)
        };
        let over = (0..2).any(|upstream| at(upstream).count() > usize::from(SLOTS));
        if over {
            Err(Violation::SlotsExceeded)
        } else {
            Ok(())
        }
    }
}
