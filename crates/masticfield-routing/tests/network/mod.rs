//! Entries that exchange datagrams over a small lossy network on a virtual clock.

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

/// Bytes of the headers of IP and UDP.
pub const HEADER_BYTES: usize = 28;

/// What happens to datagrams, in thousandths.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub lost: u32,
    pub doubled: u32,
    /// Datagrams that come up to 20 s late, and so cross later ones.
    pub late: u32,
}

#[derive(Debug)]
pub struct Upstream {
    pub news: Announcement,
    /// When it began to leave or restarted, by incarnation.
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
        life: u64,
    },
    Announce {
        upstream: usize,
        incarnation: Incarnation,
    },
}

pub struct Network {
    base: Instant,
    pub now_ms: u64,
    pub timing: Timing,
    pub defect: Defect,
    pub faults: Faults,
    /// Pairs of entries that do not reach each other.
    pub cuts: BTreeSet<(usize, usize)>,
    pub entries: Vec<Option<Membership>>,
    pub upstreams: Vec<Upstream>,
    /// Time after the end of an incarnation at which no entry may use it, in milliseconds.
    pub limit_ms: u64,
    pub violations: Vec<String>,
    /// The longest use of an incarnation after its end, in milliseconds.
    pub longest_use_ms: u64,
    pub sent: Vec<(usize, usize)>,
    pub received: Vec<(usize, usize)>,
    told: Vec<BTreeMap<Arc<str>, Incarnation>>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    lives: u64,
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
            sent: vec![(0, 0); entries],
            received: vec![(0, 0); entries],
            told: vec![BTreeMap::new(); entries],
            queue: BinaryHeap::new(),
            order: 0,
            lives: 0,
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

    /// Starts an entry under a new incarnation; only the first is a seed of the others.
    pub fn start(&mut self, entry: usize) {
        self.lives += 1;
        let me = EntryInfo {
            id: EntryId::new(u16::try_from(entry).unwrap()),
            incarnation: Incarnation::new(1_700_000_000_000 + self.lives),
            peer_address: address(entry),
            zone: format!("zone-{}", entry % 4).into(),
        };
        let seeds = [address(0), address(1)];
        let membership = Membership::new(me, seeds, self.timing).with_defect(self.defect);
        self.entries[entry] = Some(membership);
        self.told[entry].clear();
        let life = self.lives;
        let first = self.rng.random_range(1..250);
        self.schedule(first, Event::Tick { entry, life });
    }

    pub fn crash(&mut self, entry: usize) {
        self.entries[entry] = None;
    }

    fn add_upstream(&mut self, number: usize) {
        let news = Announcement {
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
        let incarnation = news.incarnation;
        self.upstreams.push(Upstream {
            news,
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

    /// Lets an upstream leave; it goes on to say so.
    pub fn leave(&mut self, upstream: usize) {
        let now = self.now_ms;
        let this = &mut self.upstreams[upstream];
        this.news.state = UpstreamState::Leaving;
        let incarnation = this.news.incarnation;
        this.ended.entry(incarnation).or_insert(now);
        self.schedule(
            0,
            Event::Announce {
                upstream,
                incarnation,
            },
        );
    }

    /// Restarts an upstream without a word.
    pub fn restart(&mut self, upstream: usize) {
        let now = self.now_ms;
        let this = &mut self.upstreams[upstream];
        this.ended.entry(this.news.incarnation).or_insert(now);
        this.news.incarnation = Incarnation::new(1_700_000_000_000 + now + 1);
        this.news.state = UpstreamState::Serving;
        let incarnation = this.news.incarnation;
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
            self.happen(event);
        }
        self.now_ms = end;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick { entry, life } => {
                let alive = self.entries[entry].as_ref().is_some_and(|membership| {
                    membership.me().incarnation.number() == 1_700_000_000_000 + life
                });
                if alive {
                    self.step(entry, Input::Tick);
                    self.schedule(250, Event::Tick { entry, life });
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

    /// Announces an upstream to any entry that runs, as the platform's balancer would.
    fn announce(&mut self, upstream: usize, incarnation: Incarnation) {
        let news = self.upstreams[upstream].news.clone();
        if news.incarnation != incarnation || !self.upstreams[upstream].running {
            return;
        }
        let running = (0..self.entries.len()).filter(|entry| self.entries[*entry].is_some());
        let running: Vec<_> = running.collect();
        if !running.is_empty() {
            let entry = running[self.rng.random_range(0..running.len())];
            self.step(entry, Input::Announced(news));
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
                    let bytes = datagram::encode(&msg).expect("every message fits");
                    self.transmit(entry, usize::from(to.port()) - 7_000, &bytes);
                }
                Action::Publish(MembershipEvent::Upstream(news)) => self.told(entry, &news),
                _ => {}
            }
        }
        self.check(entry);
    }

    fn transmit(&mut self, from: usize, to: usize, bytes: &[u8]) {
        self.sent[from].0 += 1;
        self.sent[from].1 += bytes.len() + HEADER_BYTES;
        if to >= self.entries.len() || self.cuts.contains(&(from.min(to), from.max(to))) {
            return;
        }
        let copies = if self.chance(self.faults.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            if self.chance(self.faults.lost) {
                continue;
            }
            let late = self.chance(self.faults.late);
            let delay = self.rng.random_range(if late { 20..20_000 } else { 1..20 });
            self.schedule(
                delay,
                Event::Datagram {
                    to,
                    bytes: bytes.to_vec(),
                },
            );
        }
    }

    /// Checks that an entry is never told of an earlier incarnation after a later one.
    fn told(&mut self, entry: usize, news: &Announcement) {
        let before = self.told[entry].insert(Arc::clone(&news.id), news.incarnation);
        if before.is_some_and(|before| before > news.incarnation) {
            self.violate(format_args!("entry {entry}: {} went back", news.id));
        }
    }

    /// Checks that an entry uses no incarnation that ended longer ago than the limit.
    fn check(&mut self, entry: usize) {
        let now = self.now();
        let Some(membership) = &self.entries[entry] else {
            return;
        };
        let ended = self
            .upstreams
            .iter()
            .filter(|upstream| !upstream.ended.is_empty());
        let used = ended.filter_map(|upstream| {
            let news = membership.serving(now, &upstream.news.id)?;
            let ended = upstream.ended.get(&news.incarnation)?;
            Some((Arc::clone(&upstream.news.id), self.now_ms - ended))
        });
        for (id, age_ms) in used.collect::<Vec<_>>() {
            self.longest_use_ms = self.longest_use_ms.max(age_ms);
            if age_ms > self.limit_ms {
                self.violate(format_args!("entry {entry}: {id} used after {age_ms} ms"));
            }
        }
    }

    fn violate(&mut self, text: fmt::Arguments<'_>) {
        self.violations.push(format!("{} ms: {text}", self.now_ms));
    }

    /// Mistakes in what the running entries know: entries and upstreams.
    pub fn differences(&self) -> Vec<String> {
        let now = self.now();
        let running: Vec<_> = self.entries.iter().flatten().collect();
        let serving = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.running && upstream.news.state == UpstreamState::Serving);
        let truth: BTreeSet<_> = serving
            .map(|upstream| (Arc::clone(&upstream.news.id), upstream.news.incarnation))
            .collect();
        let mut differences = Vec::new();
        for membership in &running {
            let known = membership.all_serving(now);
            let known: BTreeSet<_> = known
                .map(|news| (Arc::clone(&news.id), news.incarnation))
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
                differences.push(format!("{}: entries", membership.me().id));
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
