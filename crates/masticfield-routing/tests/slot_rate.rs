//! Network load of the slot protocol without requests, on a virtual clock.

use std::collections::VecDeque;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_core::note::ReleaseNote;
use masticfield_routing::options::RouterOptions;
use masticfield_routing::request::{Admission, Request, RouterAction};
use masticfield_routing::router::{Router, RouterIdentity};
use masticfield_routing::slots::SlotMessage;
use masticfield_wire::datagram;

/// Limit for the control traffic of a node, sent and received together.
const LIMIT_BYTES_PER_S: u64 = 6_000;

/// Bytes of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

const ENTRIES: u16 = 9;
const UPSTREAMS: u16 = 50;
const STEP: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_secs(10);
const MEASURED: Duration = Duration::from_secs(20);

fn ids() -> Vec<EntryId> {
    (1..=ENTRIES).map(EntryId::new).collect()
}

fn router(entry: EntryId) -> Router {
    let identity = RouterIdentity {
        entry,
        incarnation: Incarnation::new(1_796_000_000_000),
        zone: "zone-a".into(),
    };
    let mut router = Router::new(
        identity,
        RouterOptions::default(),
        u64::from(entry.number()),
    );
    let note = "number = 1\nbuilds_on = 0\n[added]\nservices = [{ name = \"s\", pool = \"p\", executors = 50 }]\n";
    router.configure(&ReleaseNote::from_toml(note).unwrap().added.services);
    router.set_entries(Duration::ZERO, &ids(), &ids());
    for number in 0..UPSTREAMS {
        router.upsert_upstream(Duration::ZERO, &announcement(number));
    }
    router
}

fn announcement(number: u16) -> Announcement {
    Announcement {
        id: format!("shop-counter-booking-{number}").into(),
        incarnation: Incarnation::new(1_796_000_000_000),
        service: "s".into(),
        address: "10.0.0.1:9000".parse().unwrap(),
        host: "host".into(),
        zone: "zone-a".into(),
        slots: 8,
        connections: 64,
        state: UpstreamState::Serving,
    }
}

/// Entries that exchange slot messages without loss, each with one step's delay.
struct Rest {
    now: Duration,
    routers: Vec<Router>,
    in_transit: VecDeque<(EntryId, EntryId, SlotMessage)>,
    messages: u64,
    bytes: u64,
}

impl Rest {
    fn new() -> Self {
        Self {
            now: Duration::ZERO,
            routers: ids().into_iter().map(router).collect(),
            in_transit: VecDeque::new(),
            messages: 0,
            bytes: 0,
        }
    }

    /// Lets time pass without requests, and counts the messages that are sent meanwhile.
    fn advance(&mut self, time: Duration) {
        (self.messages, self.bytes) = (0, 0);
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step();
        }
    }

    fn step(&mut self) {
        for (from, to, msg) in std::mem::take(&mut self.in_transit) {
            self.routers[usize::from(to.number()) - 1].receive(self.now, from, msg);
        }
        for (router, sender) in self.routers.iter_mut().zip(ids()) {
            if self.now >= router.next_tick() {
                router.tick(self.now);
            }
            for action in router.take_actions() {
                let RouterAction::Send(to, msg) = action else {
                    continue;
                };
                self.messages += 1;
                self.bytes += datagram::encode(&msg).unwrap().len() as u64 + HEADER_BYTES;
                self.in_transit.push_back((sender, to, msg));
            }
        }
    }
}

#[test]
fn sharing_slots_at_rest_is_within_the_limit_of_a_node() {
    let mut rest = Rest::new();
    rest.advance(WARM_UP);
    rest.advance(MEASURED);
    // Each message counts at its sender and at its receiver.
    let per_node = |total: u64| 2 * total / (u64::from(ENTRIES) * MEASURED.as_secs());
    let (bytes, messages) = (per_node(rest.bytes), per_node(rest.messages));
    println!("{messages} messages/s and {bytes} bytes/s for each of {ENTRIES} entries");
    assert!(
        bytes <= LIMIT_BYTES_PER_S,
        "{bytes} bytes/s exceed the limit of {LIMIT_BYTES_PER_S} bytes/s"
    );
}

/// What is saved at rest must not cost the first requests a round trip to the home.
#[test]
fn the_first_requests_after_rest_are_sent_at_once() {
    let mut rest = Rest::new();
    rest.advance(WARM_UP + MEASURED);
    let now = rest.now;
    let mut sent = Vec::new();
    for router in &mut rest.routers {
        let admissions = (0..UPSTREAMS).map(|_| {
            let req = Request {
                service: "s".into(),
                caller: "caller".into(),
                zone: None,
                deadline: None,
                idempotent: true,
            };
            router.admit(now, req)
        });
        sent.push(
            admissions
                .filter(|a| matches!(a, Admission::Run(_)))
                .count(),
        );
    }
    println!("{sent:?} of {UPSTREAMS} requests sent at once");
    assert!(sent.iter().all(|sent| *sent > 0), "{sent:?}");
    assert_eq!(sent.iter().sum::<usize>(), usize::from(UPSTREAMS) * 8);
}
