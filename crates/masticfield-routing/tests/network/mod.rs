//! Entries that exchange datagrams over a lossy network, simulated on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, EntryInfo, MembershipEvent, UpstreamState};
use masticfield_routing::membership::{Action, Defect, Input, Membership, Timing};
use masticfield_wire::datagram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Bytes of the IPv4 and UDP headers of a datagram.
pub const HEADER_BYTES: usize = 28;

/// Share of the datagrams that each fault affects, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost: u32,
    pub duplicated: u32,
    /// Datagrams delayed by up to 20 s, which later ones may overtake.
    pub delayed: u32,
}

/// A simulated upstream.
#[derive(Debug)]
pub struct Upstream {
    pub announcement: Announcement,
    /// Time at which each incarnation began to leave or was replaced, in milliseconds.
    pub ended: BTreeMap<Incarnation, u64>,
    pub running: bool,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Datagram {
        to: usize,
        bytes: Vec<u8>,
    },
    Tick {
        entry: usize,
        start: u64,
    },
    Announce {
        upstream: usize,
        incarnation: Incarnation,
    },
}

/// The simulated entries and upstreams, and the network between them.
pub struct Network {
    base: Instant,
    pub now_ms: u64,
    pub timing: Timing,
    pub defect: Defect,
    pub faults: Faults,
    /// Pairs of entries whose link is cut.
    pub cuts: BTreeSet<(usize, usize)>,
    pub entries: Vec<Option<Membership>>,
    pub upstreams: Vec<Upstream>,
    /// Maximum time for which an entry may use an incarnation after its end, in milliseconds.
    pub limit_ms: u64,
    pub violations: Vec<String>,
    /// Longest use of an incarnation after its end so far, in milliseconds.
    pub longest_use_ms: u64,
    /// Entries that have finished leaving.
    pub left: BTreeSet<usize>,
    /// Datagrams and bytes that each entry has sent.
    pub sent: Vec<(usize, usize)>,
    /// Datagrams and bytes that each entry has received.
    pub received: Vec<(usize, usize)>,
    /// Incarnation of each upstream that was last published at each entry.
    published: Vec<BTreeMap<Arc<str>, Incarnation>>,
    /// Pending events by time, and in the order of their scheduling.
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    /// Number of starts of entries so far, from which incarnations are derived.
    starts: u64,
    rng: ChaCha8Rng,
}

impl Network {
    pub fn new(
        seed: u64,
        entries: usize,
        upstreams: usize,
        timing: Timing,
        defect: Defect,
    ) -> Self {
        let mut network = Self {
            base: Instant::now(),
            now_ms: 0,
            timing,
            defect,
            faults: Faults::default(),
            cuts: BTreeSet::new(),
            entries: (0..entries).map(|_| None).collect(),
            upstreams: Vec::new(),
            limit_ms: u64::try_from(timing.time_to_live().as_millis()).unwrap(),
            violations: Vec::new(),
            longest_use_ms: 0,
            left: BTreeSet::new(),
            sent: vec![(0, 0); entries],
            received: vec![(0, 0); entries],
            published: vec![BTreeMap::new(); entries],
            queue: BinaryHeap::new(),
            order: 0,
            starts: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        (0..entries).for_each(|entry| network.start(entry));
        (0..upstreams).for_each(|number| network.add_upstream(number));
        network
    }

    pub fn random(&mut self, below: usize) -> usize {
        self.rng.random_range(0..below)
    }

    pub fn now(&self) -> Instant {
        self.base + Duration::from_millis(self.now_ms)
    }

    /// Starts an entry under a new incarnation; entries 0 and 1 are the seeds.
    pub fn start(&mut self, entry: usize) {
        self.starts += 1;
        let me = EntryInfo {
            id: EntryId::new(u16::try_from(entry).unwrap()),
            incarnation: Incarnation::new(1_700_000_000_000 + self.starts),
            peer_address: address(entry),
            zone: format!("zone-{}", entry % 4).into(),
        };
        let seeds = [address(0), address(1)];
        let membership = Membership::new(me, seeds, self.timing).with_defect(self.defect);
        self.entries[entry] = Some(membership);
        self.published[entry].clear();
        let start = self.starts;
        let first = self.rng.random_range(1..250);
        self.schedule(first, Event::Tick { entry, start });
    }

    pub fn crash(&mut self, entry: usize) {
        self.entries[entry] = None;
    }

    fn add_upstream(&mut self, number: usize) {
        let announcement = Announcement {
            id: format!("fabric-cutting-{number}").into(),
            incarnation: Incarnation::new(1_700_000_000_000),
            service: "fabric-cutting".into(),
            address: address(1_000 + number),
            host: format!("host-{number}").into(),
            zone: format!("zone-{}", number % 4).into(),
            slots: 8,
            connections: 64,
            state: UpstreamState::Serving,
        };
        let incarnation = announcement.incarnation;
        self.upstreams.push(Upstream {
            announcement,
            ended: BTreeMap::new(),
            running: true,
        });
        let first = self.rng.random_range(0..4_000);
        self.schedule(
            first,
            Event::Announce {
                upstream: number,
                incarnation,
            },
        );
    }

    /// Makes an upstream leave, which it keeps announcing.
    pub fn leave(&mut self, upstream: usize) {
        let now = self.now_ms;
        let target = &mut self.upstreams[upstream];
        target.announcement.state = UpstreamState::Leaving;
        let incarnation = target.announcement.incarnation;
        target.ended.entry(incarnation).or_insert(now);
        self.schedule(
            0,
            Event::Announce {
                upstream,
                incarnation,
            },
        );
    }

    /// Restarts an upstream under a new incarnation, without leaving before.
    pub fn restart(&mut self, upstream: usize) {
        let now = self.now_ms;
        let target = &mut self.upstreams[upstream];
        target
            .ended
            .entry(target.announcement.incarnation)
            .or_insert(now);
        target.announcement.incarnation = Incarnation::new(1_700_000_000_000 + now + 1);
        target.announcement.state = UpstreamState::Serving;
        let incarnation = target.announcement.incarnation;
        self.schedule(
            0,
            Event::Announce {
                upstream,
                incarnation,
            },
        );
    }

    pub fn cut(&mut self, one: usize, other: usize) {
        self.cuts.insert((one.min(other), one.max(other)));
    }

    pub fn run_for(&mut self, duration_ms: u64) {
        let end = self.now_ms + duration_ms;
        while self
            .queue
            .peek()
            .is_some_and(|Reverse((at, _, _))| *at <= end)
        {
            let Reverse((at, _, event)) = self.queue.pop().unwrap();
            self.now_ms = at;
            self.process(event);
        }
        self.now_ms = end;
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Tick { entry, start } => {
                let alive = self.entries[entry].as_ref().is_some_and(|membership| {
                    membership.me().incarnation.number() == 1_700_000_000_000 + start
                });
                if alive {
                    self.step(entry, Input::Tick);
                    self.schedule(250, Event::Tick { entry, start });
                }
            }
            Event::Datagram { to, bytes } => {
                if self.entries[to].is_some() {
                    self.received[to].0 += 1;
                    self.received[to].1 += bytes.len() + HEADER_BYTES;
                    self.step(to, Input::Received(datagram::decode(&bytes).unwrap()));
                }
            }
            Event::Announce {
                upstream,
                incarnation,
            } => self.announce(upstream, incarnation),
        }
    }

    /// Announces an upstream to a random running entry, as the platform's load balancer does.
    fn announce(&mut self, upstream: usize, incarnation: Incarnation) {
        let announcement = self.upstreams[upstream].announcement.clone();
        if announcement.incarnation != incarnation || !self.upstreams[upstream].running {
            return;
        }
        let running = (0..self.entries.len()).filter(|entry| self.entries[*entry].is_some());
        let running: Vec<_> = running.collect();
        if !running.is_empty() {
            let entry = running[self.rng.random_range(0..running.len())];
            self.step(entry, Input::Announced(announcement));
        }
        self.schedule(
            4_000,
            Event::Announce {
                upstream,
                incarnation,
            },
        );
    }

    pub fn step(&mut self, entry: usize, input: Input) {
        let now = self.now();
        let actions = self.entries[entry].as_mut().unwrap().step(now, input);
        for action in actions {
            match action {
                Action::Send { to, msg } => {
                    let bytes = datagram::encode(&msg).expect("every message fits into a datagram");
                    self.transmit(entry, usize::from(to.port()) - 7_000, &bytes);
                }
                Action::Publish(MembershipEvent::Upstream(announcement)) => {
                    self.record_published(entry, &announcement);
                }
                Action::Left => {
                    self.left.insert(entry);
                }
                _ => {}
            }
        }
        self.check_use(entry);
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() + HEADER_BYTES;
        if to >= self.entries.len() || self.cuts.contains(&(from.min(to), from.max(to))) {
            return;
        }
        let copies = if self.chance(self.faults.duplicated) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.faults.lost) {
                continue;
            }
            let delayed = self.chance(self.faults.delayed);
            let delay = self
                .rng
                .random_range(if delayed { 20..20_000 } else { 1..20 });
            self.schedule(
                delay,
                Event::Datagram {
                    to,
                    bytes: bytes.to_vec(),
                },
            );
        }
    }

    /// Checks that no entry publishes an earlier incarnation after a later one.
    fn record_published(&mut self, entry: usize, announcement: &Announcement) {
        let before =
            self.published[entry].insert(Arc::clone(&announcement.id), announcement.incarnation);
        if before.is_some_and(|before| before > announcement.incarnation) {
            self.violate(format_args!(
                "entry {entry}: {} returned to an earlier incarnation",
                announcement.id
            ));
        }
    }

    /// Checks that an entry uses no incarnation for longer than the limit after its end.
    fn check_use(&mut self, entry: usize) {
        let now = self.now();
        let Some(membership) = &self.entries[entry] else {
            return;
        };
        let ended = self
            .upstreams
            .iter()
            .filter(|upstream| !upstream.ended.is_empty());
        let used = ended.filter_map(|upstream| {
            let announcement = membership.serving(now, &upstream.announcement.id)?;
            let ended = upstream.ended.get(&announcement.incarnation)?;
            Some((Arc::clone(&upstream.announcement.id), self.now_ms - ended))
        });
        for (id, age_ms) in used.collect::<Vec<_>>() {
            self.longest_use_ms = self.longest_use_ms.max(age_ms);
            if age_ms > self.limit_ms {
                self.violate(format_args!(
                    "entry {entry}: {id} used {age_ms} ms after its end"
                ));
            }
        }
    }

    fn violate(&mut self, text: fmt::Arguments<'_>) {
        self.violations.push(format!("{} ms: {text}", self.now_ms));
    }

    /// Differences between the tables of the running entries and the truth.
    pub fn differences(&self) -> Vec<String> {
        let now = self.now();
        let running: Vec<_> = self.entries.iter().flatten().collect();
        let serving = self.upstreams.iter().filter(|upstream| {
            upstream.running && upstream.announcement.state == UpstreamState::Serving
        });
        let truth: BTreeSet<_> = serving
            .map(|upstream| {
                (
                    Arc::clone(&upstream.announcement.id),
                    upstream.announcement.incarnation,
                )
            })
            .collect();
        let mut differences = Vec::new();
        for membership in &running {
            let known = membership.all_serving(now);
            let known: BTreeSet<_> = known
                .map(|announcement| (Arc::clone(&announcement.id), announcement.incarnation))
                .collect();
            if known != truth {
                let missing = truth.difference(&known).count();
                let extra = known.difference(&truth).count();
                differences.push(format!(
                    "{}: {missing} missing, {extra} extra",
                    membership.me().id
                ));
            }
            if membership.live_peers().count() + 1 != running.len() {
                differences.push(format!(
                    "{}: wrong number of live peers",
                    membership.me().id
                ));
            }
        }
        differences
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.rng.random_range(0..1_000) < thousandths
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.order += 1;
        self.queue
            .push(Reverse((self.now_ms + delay_ms, self.order, event)));
    }
}

pub fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(7_000 + number).unwrap()))
}
