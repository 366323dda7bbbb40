//! Model of configuration leases: the version in force never reverts.
//!
//! The model has one entry, which may restart and whose clock is slow within the margin, and two
//! successive leaders. Messages are delayed, duplicated, reordered or lost. The transitions are
//! those of the real [`LeaseGranter`] and [`LeaseHolder`].

#[path = "common/explore.rs"]
mod explore;

use std::collections::BTreeSet;
use std::time::Duration;

use explore::{Model, explore};
use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_state::in_force::{
    GranterAction, GranterEvent, HolderAction, HolderEvent, LeaseGranter, LeaseHolder, LeaseTiming,
};
use masticfield_state::{Guard, Guards};
use rstest::rstest;

const ENTRY: EntryId = EntryId::new(1);
const TIMING: LeaseTiming = LeaseTiming {
    lease: Duration::from_secs(2),
    clock_margin: Duration::from_secs(1),
    renewal_interval: Duration::from_secs(1),
};
const MAX_VERSION: u64 = 2;

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Msg {
    Renew {
        incarnation: u64,
        sequence: u64,
        version: u64,
    },
    Config {
        incarnation: u64,
        version: u64,
    },
    Lease {
        incarnation: u64,
        sequence: u64,
        version: u64,
    },
}

impl Msg {
    /// Whether the message can still be delivered.
    ///
    /// Messages to an incarnation are lost with its connection when the entry restarts.
    const fn is_deliverable(&self, latest: u64) -> bool {
        match self {
            Self::Renew { .. } => true,
            Self::Config { incarnation, .. } | Self::Lease { incarnation, .. } => {
                *incarnation == latest
            }
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Leader {
    granter: LeaseGranter,
    lease_until: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// Phase in which the clock of the entry stands still for every third second.
    phase: u64,
    max_renewals: u64,
    version: u64,
    roster: BTreeSet<u64>,
    /// Term and incarnation of each proposed removal.
    removals: BTreeSet<(usize, u64)>,
    /// The leaders by term; the last one is the actual leader, which its predecessor may not know.
    leaders: Vec<Leader>,
    incarnation: u64,
    holder: LeaseHolder,
    msgs: BTreeSet<Msg>,
    /// Highest version that a leader has declared to be in force.
    declared: u64,
    /// Highest version that the entry has served.
    served: u64,
    violation: bool,
}

struct InForce {
    guards: Guards,
    /// Maximum time, in seconds.
    time: u64,
    /// Maximum number of renewals of each incarnation.
    renewals: u64,
    /// Whether the entry may restart.
    restart: bool,
    /// Whether another replica may be elected.
    elect: bool,
}

impl World {
    fn start(phase: u64, max_renewals: u64, guards: Guards) -> Self {
        let granter = LeaseGranter::with_guards(secs(0), TIMING, 1, [], guards);
        let leader = Leader {
            granter,
            lease_until: 0,
        };
        let mut world = Self {
            now: 0,
            phase,
            max_renewals,
            version: 1,
            roster: BTreeSet::new(),
            removals: BTreeSet::new(),
            leaders: vec![leader],
            incarnation: 1,
            holder: LeaseHolder::with_guards(TIMING, guards),
            msgs: BTreeSet::new(),
            declared: 0,
            served: 0,
            violation: false,
        };
        world.extend_leadership();
        world.handle_at_entry(HolderEvent::Connected);
        world
    }

    fn entry_clock(&self) -> Duration {
        secs(10 + self.now - (self.now + self.phase) / 3)
    }

    /// Handles an event at the entry.
    fn handle_at_entry(&mut self, event: HolderEvent) {
        let incarnation = self.incarnation;
        for action in self.holder.step(self.entry_clock(), event) {
            if let HolderAction::Renew { sequence, version } = action
                && sequence <= self.max_renewals
            {
                self.msgs.insert(Msg::Renew {
                    incarnation,
                    sequence,
                    version,
                });
            }
        }
    }

    /// Handles an event at the leader of a term.
    fn handle_at_leader(&mut self, term: usize, event: GranterEvent) {
        for action in self.leaders[term].granter.step(secs(self.now), event) {
            match action {
                GranterAction::Register { incarnation, .. } if term + 1 == self.leaders.len() => {
                    self.roster.insert(incarnation.number());
                    self.handle_at_leader(
                        term,
                        GranterEvent::Registered {
                            entry: ENTRY,
                            incarnation,
                        },
                    );
                }
                GranterAction::Register { .. } => {}
                GranterAction::Remove { incarnation, .. } => {
                    self.removals.insert((term, incarnation.number()));
                }
                GranterAction::SendConfig { incarnation, .. } => {
                    let version = self.leaders[term].granter.version();
                    let incarnation = incarnation.number();
                    self.msgs.insert(Msg::Config {
                        incarnation,
                        version,
                    });
                }
                GranterAction::Grant {
                    incarnation,
                    sequence,
                    version,
                    ..
                } => {
                    let incarnation = incarnation.number();
                    self.msgs.insert(Msg::Lease {
                        incarnation,
                        sequence,
                        version,
                    });
                }
                GranterAction::InForce { version } => self.declared = self.declared.max(version),
            }
        }
    }

    /// Extends the leadership lease of the latest leader.
    fn extend_leadership(&mut self) {
        let term = self.leaders.len() - 1;
        let until = self.now + 1;
        self.leaders[term].lease_until = until;
        self.handle_at_leader(term, GranterEvent::LeadershipLease { until: secs(until) });
    }

    fn elect(&mut self, guards: Guards) {
        let roster = self.roster.iter().map(|n| (ENTRY, Incarnation::new(*n)));
        let granter =
            LeaseGranter::with_guards(secs(self.now), TIMING, self.version, roster, guards);
        self.leaders.push(Leader {
            granter,
            lease_until: 0,
        });
        self.extend_leadership();
        self.handle_at_leader(1, GranterEvent::Tick);
    }

    fn commit_note(&mut self) {
        self.version += 1;
        let version = self.version;
        self.handle_at_leader(self.leaders.len() - 1, GranterEvent::Committed { version });
    }

    fn commit_removal(&mut self, term: usize, n: u64) {
        self.removals.remove(&(term, n));
        self.roster.remove(&n);
        let incarnation = Incarnation::new(n);
        self.handle_at_leader(
            self.leaders.len() - 1,
            GranterEvent::Removed {
                entry: ENTRY,
                incarnation,
            },
        );
    }

    fn tick(&mut self) {
        self.now += 1;
        self.handle_at_entry(HolderEvent::Tick);
        for term in 0..self.leaders.len() {
            self.handle_at_leader(term, GranterEvent::Tick);
        }
    }

    fn restart(&mut self, guards: Guards) {
        self.incarnation += 1;
        self.holder = LeaseHolder::with_guards(TIMING, guards);
        self.handle_at_entry(HolderEvent::Connected);
    }

    /// Delivers a message; a renewal stays in flight and may be delivered again, to either leader.
    fn deliver(&mut self, msg: &Msg, term: usize) {
        let ttl = TIMING.lease;
        if !matches!(msg, Msg::Renew { .. }) {
            self.msgs.remove(msg);
        }
        match *msg {
            Msg::Renew {
                incarnation,
                sequence,
                version,
            } => {
                let (entry, incarnation) = (ENTRY, Incarnation::new(incarnation));
                self.handle_at_leader(
                    term,
                    GranterEvent::Renew {
                        entry,
                        incarnation,
                        sequence,
                        version,
                    },
                );
            }
            Msg::Config { version, .. } => self.handle_at_entry(HolderEvent::Config { version }),
            Msg::Lease {
                sequence, version, ..
            } => {
                self.handle_at_entry(HolderEvent::Lease {
                    sequence,
                    version,
                    ttl,
                });
            }
        }
    }

    /// Drops undeliverable messages, and checks the version that the entry serves.
    fn observe(mut self) -> Self {
        let incarnation = self.incarnation;
        self.msgs.retain(|msg| msg.is_deliverable(incarnation));
        self.msgs.retain(
            |msg| !matches!(msg, Msg::Config { version, .. } if *version == self.holder.version()),
        );
        if let Some(version) = self.holder.serving(self.entry_clock()) {
            self.violation |= version < self.declared || version < self.served;
            self.served = self.served.max(version);
        }
        self
    }
}

impl Model for InForce {
    type State = World;

    fn initial_states(&self) -> Vec<World> {
        (0..3)
            .map(|phase| World::start(phase, self.renewals, self.guards))
            .collect()
    }

    fn successors(&self, world: &World) -> Vec<(String, World)> {
        let mut next = Vec::new();
        let mut add = |name: String, step: &dyn Fn(&mut World)| {
            let mut world = world.clone();
            step(&mut world);
            next.push((name, world.observe()));
        };
        let latest = world.leaders.len() - 1;
        if world.now < self.time {
            add("a second passes".into(), &World::tick);
        }
        if world.leaders[latest].lease_until <= world.now {
            add(
                "the leadership lease is extended".into(),
                &World::extend_leadership,
            );
        }
        if self.elect && latest == 0 && world.leaders[0].lease_until <= world.now {
            add("another replica is elected".into(), &|world| {
                world.elect(self.guards);
            });
        }
        if world.version < MAX_VERSION {
            add("a note is accepted".into(), &World::commit_note);
        }
        if self.restart && world.incarnation == 1 {
            add("the entry restarts".into(), &|world| {
                world.restart(self.guards);
            });
        }
        for &(term, n) in &world.removals {
            if term == latest || !self.guards.holds(Guard::LeaderTerm) {
                let step = |world: &mut World| world.commit_removal(term, n);
                add(format!("leader {term} removes incarnation {n}"), &step);
            }
        }
        for msg in &world.msgs {
            let terms = if matches!(msg, Msg::Renew { .. }) {
                latest + 1
            } else {
                1
            };
            for term in 0..terms {
                let step = |world: &mut World| world.deliver(msg, term);
                add(format!("deliver {msg:?} (leader {term})"), &step);
            }
        }
        next.retain(|(_, next)| next != world);
        next
    }

    fn violation(&self, world: &World) -> Option<String> {
        world.violation.then(|| {
            format!(
                "the entry serves an earlier version at second {}",
                world.now
            )
        })
    }
}

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

impl InForce {
    const fn new(time: u64, renewals: u64, restart: bool, elect: bool) -> Self {
        let guards = Guards::all();
        Self {
            guards,
            time,
            renewals,
            restart,
            elect,
        }
    }
}

#[rstest]
#[case::isolated_entry(InForce::new(5, 3, false, false))]
#[case::only_restart(InForce::new(3, 2, true, false))]
#[case::leader_change(InForce::new(4, 2, false, true))]
#[case::restart_and_leader_change(InForce::new(2, 1, true, true))]
fn what_is_in_force_never_reverts(#[case] model: InForce) {
    let exploration = explore("in force", &model);
    assert_eq!(exploration.counterexample, None);
}

#[rstest]
#[case::wait_of_a_new_leader(Guard::LeaderWait)]
#[case::leadership_lease(Guard::LeadershipLease)]
#[case::clock_margin(Guard::ClockMargin)]
#[case::lease_from_renewal(Guard::LeaseFromRenewal)]
#[case::version_rises(Guard::VersionRises)]
#[case::lease_needed(Guard::LeaseNeeded)]
fn a_disabled_guard_lets_the_version_in_force_revert(#[case] guard: Guard) {
    let guards = Guards::without(guard);
    let model = InForce {
        guards,
        ..InForce::new(5, 3, false, true)
    };
    let exploration = explore(&format!("in force without {guard:?}"), &model);
    assert!(exploration.counterexample.is_some());
}
