//! Model of the hand-over of a host: it never works for two pools.
//!
//! One host, which may be isolated, and two leaders that follow each other; orders, renewals and
//! the host's words come late, doubled or never, a renewal at most [`DELAY`] after it was sent.
//! The durable state is the real [`HostTable`], the rest is specified here.

#[path = "common/explore.rs"]
mod explore;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use explore::{Model, explore};
use masticfield_core::fleet::{Generation, Ownership};
use masticfield_state::{Guard, Guards, HostRecord, HostStep, HostTable};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use rstest::rstest;

/// Seconds that a lease of the host lasts.
const LEASE: u64 = 1;
/// Seconds after which a renewal that was sent is not delivered any more.
const DELAY: u64 = 1;
/// Seconds that the host's clock may lose during a lease and a delay.
const MARGIN: u64 = 1;
const HOST: &str = "host-1";

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Msg {
    /// Work for the pool goes on at the generation; sent at a time.
    Renew { generation: u64, sent: u64 },
    /// The host takes nothing new at the generation.
    Drain { generation: u64 },
    /// The host takes new work at the generation.
    Resume { generation: u64 },
    /// The host says that no lease of the generation is left on it.
    Drained { generation: u64 },
}

/// What the host believes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    generation: u64,
    draining: bool,
    /// When its lease runs out, by the true time; nothing if it holds none.
    until: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    table: HostTable,
    term: u64,
    /// Terms whose leader still runs, with the last time at which it sent a renewal.
    renewed: [Option<u64>; 2],
    /// When each leader began.
    began: [u64; 2],
    /// `LeasesEnded` of a generation, decided by the leader of a term but not proposed yet.
    decided: BTreeSet<(u64, u64)>,
    host: Host,
    /// The pool of each generation so far.
    pools: BTreeMap<u64, Arc<str>>,
    msgs: BTreeSet<Msg>,
}

struct HandOver {
    guards: Guards,
    time: u64,
    /// Generations that are reached.
    generations: u64,
}

impl World {
    fn start(guards: Guards) -> Self {
        let mut table = HostTable::with_guards(guards);
        let own = HostStep::Own {
            pool: "p0".into(),
            generation: Generation::new(1),
        };
        table.step(0, &HOST.into(), &own);
        Self {
            now: 0,
            table,
            term: 0,
            renewed: [None; 2],
            began: [0; 2],
            decided: BTreeSet::new(),
            host: Host {
                generation: 0,
                draining: false,
                until: None,
            },
            pools: BTreeMap::from([(1, "p0".into())]),
            msgs: BTreeSet::new(),
        }
    }

    fn record(&self) -> &HostRecord {
        self.table.host(HOST).expect("owned at the start")
    }

    fn generation(&self) -> u64 {
        self.record().ownership().generation().number()
    }

    fn is_draining(&self) -> bool {
        matches!(self.record().ownership(), Ownership::Draining { .. })
    }

    fn commit(&mut self, step: &HostStep) {
        self.table.step(self.now, &HOST.into(), step);
        if let Some(pool) = self.record().ownership().pool().cloned() {
            self.pools.insert(self.generation(), pool);
        }
    }

    fn send(&mut self, msg: Msg) {
        self.msgs.insert(msg);
    }

    fn decide(&mut self, decided: (u64, u64)) {
        self.decided.insert(decided);
    }

    /// Time passes: a lease runs out, and renewals that are too late are not delivered.
    fn pass(&mut self) {
        self.now += 1;
        let now = self.now;
        self.host.until = self.host.until.filter(|until| now < *until);
        self.msgs
            .retain(|msg| !matches!(msg, Msg::Renew { sent, .. } if now > sent + DELAY));
    }

    /// Whether the leader renews leases: nobody waits for their end, and it has not come.
    fn renews(&self) -> bool {
        let decided = self.decided.contains(&(self.term, self.generation()));
        let owned = self.record().ownership().pool().is_some();
        let sent = self.renewed[index(self.term)] == Some(self.now);
        owned && self.record().drain_proof().is_none() && !decided && !sent
    }

    /// The leader renews the leases of the current generation.
    fn renew(&mut self) {
        let (generation, sent) = (self.generation(), self.now);
        self.renewed[index(self.term)] = Some(sent);
        self.msgs.insert(Msg::Renew { generation, sent });
    }

    /// Whether the leader knows that every lease has run out.
    fn leases_ended(&self) -> bool {
        let term = index(self.term);
        let last = self.renewed[term]
            .unwrap_or(self.began[term])
            .max(self.began[term]);
        self.now >= last + LEASE + DELAY + MARGIN
    }

    fn deliver(&mut self, msg: Msg, guards: Guards) {
        let host = &mut self.host;
        match msg {
            Msg::Renew { generation, .. } => {
                self.msgs.remove(&msg);
                if generation < host.generation {
                    return;
                }
                if generation > host.generation {
                    *host = Host {
                        generation,
                        draining: false,
                        until: None,
                    };
                }
                if !host.draining || host.until.is_some() {
                    host.until = Some(self.now + LEASE + MARGIN);
                }
            }
            Msg::Drain { generation } => {
                if generation >= host.generation {
                    let until = host.until.filter(|_| generation == host.generation);
                    *host = Host {
                        generation,
                        draining: true,
                        until,
                    };
                }
            }
            Msg::Resume { generation } => {
                let same = generation == host.generation;
                if same && host.draining && !guards.holds(Guard::ResumeGeneration) {
                    host.draining = false;
                }
            }
            Msg::Drained { generation } => {
                let generation = Generation::new(generation);
                self.commit(&HostStep::HostReport { generation });
            }
        }
    }
}

const fn index(term: u64) -> usize {
    if term == 0 { 0 } else { 1 }
}

impl Model for HandOver {
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
        let g = world.generation();
        let generation = Generation::new(g);
        if world.now < self.time {
            add("a second passes".into(), &World::pass);
        }
        add("drain".into(), &|world| {
            world.commit(&HostStep::Drain { generation });
        });
        add("release".into(), &|world| {
            world.commit(&HostStep::Release { generation });
        });
        if g < self.generations {
            add("resume".into(), &|world| {
                world.commit(&HostStep::Resume { generation });
            });
            let pool = if g.is_multiple_of(2) { "p0" } else { "p1" };
            let own = HostStep::Own {
                pool: pool.into(),
                generation: generation.next(),
            };
            add(format!("own by {pool}"), &|world| world.commit(&own));
        }
        if world.renews() {
            add("renew".into(), &World::renew);
        }
        if g > 1 && matches!(world.record().ownership(), Ownership::Owned { .. })
            || !self.guards.holds(Guard::ResumeGeneration)
        {
            let resume = Msg::Resume { generation: g };
            add("order the resume".into(), &|world| world.send(resume));
        }
        if world.is_draining() {
            let drain = Msg::Drain { generation: g };
            add("order the drain".into(), &|world| world.send(drain));
            if world.leases_ended() {
                let decided = (world.term, g);
                add("decide that leases ended".into(), &|world| {
                    world.decide(decided);
                });
            }
        }
        for &(term, g) in &world.decided {
            if term == world.term || !self.guards.holds(Guard::LeaderTerm) {
                add(format!("commit that leases of {g} ended"), &|world| {
                    world.decided.remove(&(term, g));
                    let generation = Generation::new(g);
                    world.commit(&HostStep::LeasesEnded { generation });
                });
            }
        }
        if world.term == 0 {
            add("another replica leads".into(), &|world| {
                world.term = 1;
                world.began[1] = world.now;
            });
        }
        if world.host.draining && world.host.until.is_some() {
            add("the work ends".into(), &|world| world.host.until = None);
        }
        if world.host.draining && world.host.until.is_none() {
            let drained = Msg::Drained {
                generation: world.host.generation,
            };
            add("the host says so".into(), &|world| world.send(drained));
        }
        for msg in &world.msgs {
            add(format!("{msg:?} arrives"), &|world| {
                world.deliver(*msg, self.guards);
            });
        }
        next.retain(|(_, next)| next != world);
        next
    }

    fn violation(&self, world: &World) -> Option<String> {
        world.host.until?;
        let (owner, host) = (world.record().ownership(), world.host.generation);
        let other = owner.pool() != world.pools.get(&host);
        other.then(|| format!("the host works at generation {host} under {owner:?}"))
    }
}

#[test]
fn a_host_never_works_for_two_pools() {
    let explored = explore(
        "hand-over",
        &HandOver {
            guards: Guards::all(),
            time: 4,
            generations: 2,
        },
    );
    assert_eq!(explored.counterexample, None);
}

#[rstest]
#[case::generation(Guard::Generation)]
#[case::release(Guard::Release)]
#[case::resume_generation(Guard::ResumeGeneration)]
#[case::leader_term(Guard::LeaderTerm)]
fn without_a_guard_it_works_for_two(#[case] guard: Guard) {
    let model = HandOver {
        guards: Guards::without(guard),
        time: 4,
        generations: 2,
    };
    let explored = explore(&format!("hand-over without {guard:?}"), &model);
    assert!(explored.counterexample.is_some());
}

/// Takes the steps that `choices` pick; returns the first violation.
fn walk(guards: Guards, choices: &[u16]) -> Option<String> {
    let model = HandOver {
        guards,
        time: 30,
        generations: 8,
    };
    let mut world = World::start(guards);
    for choice in choices {
        let mut next = model.next(&world);
        if next.is_empty() {
            return None;
        }
        world = next.swap_remove(usize::from(*choice) % next.len()).1;
        if let Some(violation) = model.violation(&world) {
            return Some(violation);
        }
    }
    None
}

fn histories() -> impl Strategy<Value = Vec<u16>> {
    proptest::collection::vec(any::<u16>(), 150)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn long_histories_never_put_a_host_into_two_pools(choices in histories()) {
        prop_assert_eq!(walk(Guards::all(), &choices), None);
    }
}

#[rstest]
#[case::generation(Guard::Generation)]
#[case::release(Guard::Release)]
fn long_histories_find_a_removed_guard(#[case] guard: Guard) {
    let mut runner = TestRunner::deterministic();
    let found = (0..60).any(|_| {
        let choices = histories().new_tree(&mut runner).unwrap().current();
        walk(Guards::without(guard), &choices).is_some()
    });
    assert!(found, "no history finds it");
}
