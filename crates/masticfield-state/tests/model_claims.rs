//! Model of claims and dispatches: a request runs at most once, and "not run" is never wrong.
//!
//! A caller sends a request under one key, and again after lost answers, to two entries that
//! crash and restart with the same sequence numbers. Claims, verdicts, dispatches, answers and
//! ends are delayed, duplicated or lost, which also covers a change of the leader. The claim
//! table is the real [`ClaimTable`], everything else is specified here.

#[path = "common/explore.rs"]
mod explore;

use std::collections::BTreeSet;

use explore::{Model, explore};
use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_state::{ClaimTable, Guard, Guards};
use rstest::rstest;

/// Time that passes in one step, in seconds; longer than the retention of claims.
const LEAP_S: u64 = ClaimTable::RETENTION_S + 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Msg {
    /// A proposed claim, which may be committed more than once.
    Claim(usize),
    /// The claim of the dispatch was granted.
    Granted(usize),
    /// A request to an upstream.
    Request(usize),
    /// The answer of the upstream, and whether the request ran.
    Answer(usize, bool),
    /// A proposed end, and whether the request ran.
    End(usize, bool),
    /// A proposed end that is unknown.
    UnknownEnd(usize),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Dispatch {
    entry: u16,
    sequence: u64,
    phase: Phase,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    Claiming,
    Sent,
    /// The caller has an answer, or the entry has crashed.
    Done,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now_s: u64,
    claims: ClaimTable,
    dispatches: Vec<Dispatch>,
    next_sequence: [u64; 2],
    crashes: u8,
    msgs: BTreeSet<Msg>,
    /// Dispatches that ran, in order.
    ran: Vec<usize>,
    /// Dispatches that were reported to the caller as not run.
    reported_not_run: BTreeSet<usize>,
}

struct Claims {
    guards: Guards,
    /// Maximum number of attempts of the caller.
    attempts: usize,
    /// Maximum number of restarts of entries.
    crashes: u8,
    /// Maximum number of times that the retention passes.
    leaps: u64,
}

impl World {
    fn start(guards: Guards) -> Self {
        Self {
            now_s: 0,
            claims: ClaimTable::with_guards(guards),
            dispatches: Vec::new(),
            next_sequence: [0; 2],
            crashes: 0,
            msgs: BTreeSet::new(),
            ran: Vec::new(),
            reported_not_run: BTreeSet::new(),
        }
    }

    fn request(&self, d: usize) -> RequestId {
        let dispatch = &self.dispatches[d];
        RequestId::new(EntryId::new(dispatch.entry), dispatch.sequence)
    }

    fn attempt(&mut self, entry: u16) {
        let sequence = self.next_sequence[usize::from(entry)];
        self.next_sequence[usize::from(entry)] += 1;
        self.msgs.insert(Msg::Claim(self.dispatches.len()));
        let phase = Phase::Claiming;
        self.dispatches.push(Dispatch {
            entry,
            sequence,
            phase,
        });
    }

    fn crash(&mut self, entry: u16) {
        self.crashes += 1;
        self.next_sequence[usize::from(entry)] = 0;
        for dispatch in &mut self.dispatches {
            if dispatch.entry == entry {
                dispatch.phase = Phase::Done;
            }
        }
        self.claims.fence(EntryId::new(entry));
    }

    /// The entry stops waiting for the dispatch.
    fn give_up(&mut self, d: usize) {
        if self.dispatches[d].phase == Phase::Claiming {
            self.reported_not_run.insert(d);
            self.msgs.insert(Msg::End(d, false));
        } else {
            self.msgs.insert(Msg::UnknownEnd(d));
        }
        self.dispatches[d].phase = Phase::Done;
    }

    fn deliver(&mut self, msg: Msg) {
        if !matches!(msg, Msg::Claim(_)) {
            self.msgs.remove(&msg);
        }
        match msg {
            Msg::Claim(d) => self.commit_claim(d),
            Msg::Granted(d) if self.dispatches[d].phase == Phase::Claiming => {
                self.dispatches[d].phase = Phase::Sent;
                self.msgs.insert(Msg::Request(d));
            }
            Msg::Granted(_) => {}
            Msg::Request(d) => {
                self.ran.push(d);
                self.msgs.insert(Msg::Answer(d, true));
            }
            Msg::Answer(d, ran) => {
                if self.dispatches[d].phase == Phase::Sent {
                    self.dispatches[d].phase = Phase::Done;
                    self.msgs.insert(Msg::End(d, ran));
                    if !ran {
                        self.reported_not_run.insert(d);
                    }
                }
            }
            Msg::End(d, ran) => self.end(d, if ran { ClaimEnd::Ran } else { ClaimEnd::NotRun }),
            Msg::UnknownEnd(d) => self.end(d, ClaimEnd::Unknown),
        }
    }

    /// The upstream refuses the request before running it.
    fn refuse(&mut self, d: usize) {
        self.msgs.remove(&Msg::Request(d));
        self.msgs.insert(Msg::Answer(d, false));
    }

    fn commit_claim(&mut self, d: usize) {
        let claim = Claim {
            key: key(),
            fingerprint: [1; 16],
            request: self.request(d),
        };
        match self.claims.claim(self.now_s, &claim) {
            ClaimVerdict::Granted | ClaimVerdict::AlreadyYours => {
                self.msgs.insert(Msg::Granted(d));
            }
            // The caller gets the outcome of the first attempt; nothing is dispatched.
            _ => self.dispatches[d].phase = Phase::Done,
        }
    }

    fn end(&mut self, d: usize, end: ClaimEnd) {
        self.claims.end(key(), self.request(d), end);
    }
}

impl Model for Claims {
    type State = World;

    fn initial_states(&self) -> Vec<World> {
        vec![World::start(self.guards)]
    }

    fn successors(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut add = |name: String, step: &dyn Fn(&mut World)| {
            let mut world = world.clone();
            step(&mut world);
            next.push((name, world));
        };
        if world.now_s < self.leaps * LEAP_S {
            add("the retention passes".into(), &|world| {
                world.now_s += LEAP_S;
            });
        }
        for entry in 0..2 {
            if world.dispatches.len() < self.attempts {
                add(
                    format!("the caller sends the request to entry {entry}"),
                    &|world| {
                        world.attempt(entry);
                    },
                );
            }
            if world.crashes < self.crashes {
                add(format!("entry {entry} restarts"), &|world| {
                    world.crash(entry);
                });
            }
        }
        for (d, dispatch) in world.dispatches.iter().enumerate() {
            if dispatch.phase != Phase::Done {
                add(format!("the entry abandons {d}"), &|world| world.give_up(d));
            }
        }
        for msg in &world.msgs {
            add(format!("deliver {msg:?}"), &|world| world.deliver(*msg));
            if let Msg::Request(d) = msg {
                add(format!("the upstream refuses dispatch {d}"), &|world| {
                    world.refuse(*d);
                });
            }
        }
        next.retain(|(_, next)| next != world);
        next
    }

    fn violation(&self, world: &World) -> Option<String> {
        if world.ran.len() > 1 {
            return Some(format!("the request ran for dispatches {:?}", world.ran));
        }
        let dispatch = world
            .ran
            .iter()
            .find(|d| world.reported_not_run.contains(*d))?;
        Some(format!(
            "dispatch {dispatch} ran but was reported as not run"
        ))
    }
}

const fn key() -> ClaimKey {
    ClaimKey::from_digest([1; 16], 0)
}

#[rstest]
#[case::three_attempts(3, 0, 0)]
#[case::restart_and_age(2, 1, 1)]
fn a_request_runs_at_most_once(#[case] attempts: usize, #[case] crashes: u8, #[case] leaps: u64) {
    let guards = Guards::all();
    let exploration = explore(
        "claims",
        &Claims {
            guards,
            attempts,
            crashes,
            leaps,
        },
    );
    assert_eq!(exploration.counterexample, None);
}

#[rstest]
#[case::claim_once(Guard::ClaimOnce)]
#[case::claim_age(Guard::ClaimAge)]
#[case::fence(Guard::Fence)]
fn a_disabled_guard_lets_a_request_run_twice(#[case] guard: Guard) {
    let guards = Guards::without(guard);
    let model = Claims {
        guards,
        attempts: 2,
        crashes: 1,
        leaps: 1,
    };
    let exploration = explore(&format!("claims without {guard:?}"), &model);
    assert!(exploration.counterexample.is_some());
}
