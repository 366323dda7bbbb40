//! Model of the handover of a host between pools: the host never works for two pools.
//!
//! The model has one host, which may be isolated, and two successive leaders. Orders, renewals
//! and reports of the host are delayed, duplicated or lost; a renewal is delivered at most
//! [`DELAY`] after it was sent. The durable state is the real [`HostTable`], everything else is
//! specified here.

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

/// Duration of a lease of the host, in seconds.
const LEASE: u64 = 1;
/// Maximum time between the sending and the delivery of a renewal, in seconds.
const DELAY: u64 = 1;
/// Maximum time that the clock of the host loses during a lease and a delay, in seconds.
const MARGIN: u64 = 1;
const HOST: &str = "host-1";

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Msg {
    /// The lease of the generation is renewed.
    Renew { generation: u64, sent: u64 },
    /// The host is ordered to drain at the generation.
    Drain { generation: u64 },
    /// The host is ordered to accept new work at the generation.
    Resume { generation: u64 },
    /// The host reports that it holds no lease of the generation.
    Drained { generation: u64 },
}

/// The state of the host itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Host {
    generation: u64,
    draining: bool,
    /// True time at which the lease expires; `None` if the host holds none.
    until: Option<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    table: HostTable,
    term: u64,
    /// Time at which the leader of each term last sent a renewal.
    last_renewal: [Option<u64>; 2],
    /// Time at which the leader of each term was elected.
    elected: [u64; 2],
    /// Term and generation of each `LeasesEnded` that a leader has decided but not proposed yet.
    decided: BTreeSet<(u64, u64)>,
    host: Host,
    /// The pool that owned the host at each generation.
    pools: BTreeMap<u64, Arc<str>>,
    msgs: BTreeSet<Msg>,
}

struct Handover {
    guards: Guards,
    /// Maximum time, in seconds.
    time: u64,
    /// Maximum generation.
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
            last_renewal: [None; 2],
            elected: [0; 2],
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

    /// Advances the time by a second: the lease may expire, and late renewals are dropped.
    fn advance(&mut self) {
        self.now += 1;
        let now = self.now;
        self.host.until = self.host.until.filter(|until| now < *until);
        self.msgs
            .retain(|msg| !matches!(msg, Msg::Renew { sent, .. } if now > sent + DELAY));
    }

    /// Whether the leader may send a renewal.
    ///
    /// It may unless the drain is proven or decided, or a renewal was sent in this second.
    fn can_renew(&self) -> bool {
        let decided = self.decided.contains(&(self.term, self.generation()));
        let owned = self.record().ownership().pool().is_some();
        let sent = self.last_renewal[index(self.term)] == Some(self.now);
        owned && self.record().drain_proof().is_none() && !decided && !sent
    }

    /// Sends a renewal for the current generation.
    fn renew(&mut self) {
        let (generation, sent) = (self.generation(), self.now);
        self.last_renewal[index(self.term)] = Some(sent);
        self.msgs.insert(Msg::Renew { generation, sent });
    }

    /// Whether the leader knows that every lease has expired.
    fn leases_ended(&self) -> bool {
        let term = index(self.term);
        let last = self.last_renewal[term]
            .unwrap_or(self.elected[term])
            .max(self.elected[term]);
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

impl Model for Handover {
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
        let g = world.generation();
        let generation = Generation::new(g);
        if world.now < self.time {
            add("a second passes".into(), &World::advance);
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
        if world.can_renew() {
            add("renew".into(), &World::renew);
        }
        if g > 1 && matches!(world.record().ownership(), Ownership::Owned { .. })
            || !self.guards.holds(Guard::ResumeGeneration)
        {
            let resume = Msg::Resume { generation: g };
            add("send the resume order".into(), &|world| world.send(resume));
        }
        if world.is_draining() {
            let drain = Msg::Drain { generation: g };
            add("send the drain order".into(), &|world| world.send(drain));
            if world.leases_ended() {
                let decided = (world.term, g);
                add("decide that the leases have expired".into(), &|world| {
                    world.decide(decided);
                });
            }
        }
        for &(term, g) in &world.decided {
            if term == world.term || !self.guards.holds(Guard::LeaderTerm) {
                add(
                    format!("commit that the leases of generation {g} have expired"),
                    &|world| {
                        world.decided.remove(&(term, g));
                        let generation = Generation::new(g);
                        world.commit(&HostStep::LeasesEnded { generation });
                    },
                );
            }
        }
        if world.term == 0 {
            add("another replica is elected".into(), &|world| {
                world.term = 1;
                world.elected[1] = world.now;
            });
        }
        if world.host.draining && world.host.until.is_some() {
            add("finish the work".into(), &|world| world.host.until = None);
        }
        if world.host.draining && world.host.until.is_none() {
            let drained = Msg::Drained {
                generation: world.host.generation,
            };
            add("report the drain".into(), &|world| world.send(drained));
        }
        for msg in &world.msgs {
            add(format!("deliver {msg:?}"), &|world| {
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
    let exploration = explore(
        "handover",
        &Handover {
            guards: Guards::all(),
            time: 4,
            generations: 2,
        },
    );
    assert_eq!(exploration.counterexample, None);
}

#[rstest]
#[case::generation(Guard::Generation)]
#[case::release(Guard::Release)]
#[case::resume_generation(Guard::ResumeGeneration)]
#[case::leader_term(Guard::LeaderTerm)]
fn a_disabled_guard_lets_a_host_work_for_two_pools(#[case] guard: Guard) {
    let model = Handover {
        guards: Guards::without(guard),
        time: 4,
        generations: 2,
    };
    let exploration = explore(&format!("handover without {guard:?}"), &model);
    assert!(exploration.counterexample.is_some());
}

/// Takes the steps selected by `choices`, and returns the first violation.
fn walk(guards: Guards, choices: &[u16]) -> Option<String> {
    let model = Handover {
        guards,
        time: 30,
        generations: 8,
    };
    let mut world = World::start(guards);
    for choice in choices {
        let mut next = model.successors(&world);
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
fn long_histories_detect_a_disabled_guard(#[case] guard: Guard) {
    let mut runner = TestRunner::deterministic();
    let found = (0..60).any(|_| {
        let choices = histories().new_tree(&mut runner).unwrap().current();
        walk(Guards::without(guard), &choices).is_some()
    });
    assert!(found, "no history leads to a violation");
}
