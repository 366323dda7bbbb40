//! Model of claim and dispatch: a request with a key runs at most once, and "not run" is true.
//!
//! A caller sends one request under one key, and again after lost answers, to two entries that
//! crash and restart with the same numbers. Claims, verdicts, dispatches, answers and ends come
//! late, doubled or never, which is also what a change of the leader does to them. The claims
//! are the real [`ClaimTable`], the rest is specified here.

#[path = "common/explore.rs"]
mod explore;

use std::collections::BTreeSet;

use explore::{Model, explore};
use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey, ClaimVerdict};
use masticfield_core::ids::{EntryId, RequestId};
use masticfield_state::{ClaimTable, Guard, Guards};
use rstest::rstest;

/// Seconds that pass at once.
const LEAP_S: u64 = ClaimTable::RETENTION_S + 1;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Msg {
    /// A claim on its way into the log; it may be committed twice.
    Claim(usize),
    /// The key is the dispatch's.
    Granted(usize),
    /// The request on its way to an upstream.
    Request(usize),
    /// What the upstream says: whether it ran.
    Answer(usize, bool),
    /// An end on its way into the log, `true` for one that ran.
    End(usize, bool),
    /// An end without proof.
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
    /// The caller has its answer, or the entry crashed.
    Over,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now_s: u64,
    claims: ClaimTable,
    dispatches: Vec<Dispatch>,
    next_sequence: [u64; 2],
    crashes: u8,
    msgs: BTreeSet<Msg>,
    ran: Vec<usize>,
    told_not_run: BTreeSet<usize>,
}

struct Claims {
    guards: Guards,
    attempts: usize,
    crashes: u8,
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
            told_not_run: BTreeSet::new(),
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
                dispatch.phase = Phase::Over;
            }
        }
        self.claims.fence(EntryId::new(entry));
    }

    /// The entry waits no longer.
    fn give_up(&mut self, d: usize) {
        if self.dispatches[d].phase == Phase::Claiming {
            self.told_not_run.insert(d);
            self.msgs.insert(Msg::End(d, false));
        } else {
            self.msgs.insert(Msg::UnknownEnd(d));
        }
        self.dispatches[d].phase = Phase::Over;
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
                    self.dispatches[d].phase = Phase::Over;
                    self.msgs.insert(Msg::End(d, ran));
                    if !ran {
                        self.told_not_run.insert(d);
                    }
                }
            }
            Msg::End(d, ran) => self.end(d, if ran { ClaimEnd::Ran } else { ClaimEnd::NotRun }),
            Msg::UnknownEnd(d) => self.end(d, ClaimEnd::Unknown),
        }
    }

    /// The upstream refuses before it starts.
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
            // The caller learns what became of the first attempt; nothing is sent.
            _ => self.dispatches[d].phase = Phase::Over,
        }
    }

    fn end(&mut self, d: usize, end: ClaimEnd) {
        self.claims.end(key(), self.request(d), end);
    }
}

impl Model for Claims {
    type State = World;

    fn starts(&self) -> Vec<World> {
        vec![World::start(self.guards)]
    }

    fn next(&self, world: &World) -> Vec<(String, World)> {
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
                add(format!("the caller asks entry {entry}"), &|world| {
                    world.attempt(entry);
                });
            }
            if world.crashes < self.crashes {
                add(format!("entry {entry} restarts"), &|world| {
                    world.crash(entry);
                });
            }
        }
        for (d, dispatch) in world.dispatches.iter().enumerate() {
            if dispatch.phase != Phase::Over {
                add(format!("the entry gives {d} up"), &|world| world.give_up(d));
            }
        }
        for msg in &world.msgs {
            add(format!("{msg:?} arrives"), &|world| world.deliver(*msg));
            if let Msg::Request(d) = msg {
                add(format!("the upstream refuses {d}"), &|world| {
                    world.refuse(*d);
                });
            }
        }
        next.retain(|(_, next)| next != world);
        next
    }

    fn violation(&self, world: &World) -> Option<String> {
        if world.ran.len() > 1 {
            return Some(format!("the request ran for {:?}", world.ran));
        }
        let lie = world.ran.iter().find(|d| world.told_not_run.contains(*d))?;
        Some(format!(
            "{lie} ran, and its caller was told that it did not"
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
    let explored = explore(
        "claims",
        &Claims {
            guards,
            attempts,
            crashes,
            leaps,
        },
    );
    assert_eq!(explored.counterexample, None);
}

#[rstest]
#[case::claim_once(Guard::ClaimOnce)]
#[case::claim_age(Guard::ClaimAge)]
#[case::fence(Guard::Fence)]
fn without_a_guard_it_runs_twice(#[case] guard: Guard) {
    let guards = Guards::without(guard);
    let model = Claims {
        guards,
        attempts: 2,
        crashes: 1,
        leaps: 1,
    };
    let explored = explore(&format!("claims without {guard:?}"), &model);
    assert!(explored.counterexample.is_some());
}
