//! Network load of the slot protocol without requests, on a virtual clock.

use std::collections::VecDeque;
use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_core::note::ReleaseNote;
use masticfield_routing::options::RouterOptions;
use masticfield_routing::request::RouterAction;
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
        incarnation: Incarnation::new(1),
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

#[test]
fn sharing_slots_at_rest_is_within_the_limit_of_a_node() {
    let mut routers: Vec<_> = ids().into_iter().map(router).collect();
    let mut in_transit: VecDeque<(EntryId, EntryId, SlotMessage)> = VecDeque::new();
    let (mut now, mut bytes, mut messages) = (Duration::ZERO, 0_u64, 0_u64);
    while now < WARM_UP + MEASURED {
        now += STEP;
        for (from, to, msg) in std::mem::take(&mut in_transit) {
            routers[usize::from(to.number()) - 1].receive(now, from, msg);
        }
        for (router, sender) in routers.iter_mut().zip(ids()) {
            if now >= router.next_tick() {
                router.tick(now);
            }
            for action in router.take_actions() {
                let RouterAction::Send(to, msg) = action else {
                    continue;
                };
                if now > WARM_UP {
                    messages += 1;
                    bytes += datagram::encode(&msg).unwrap().len() as u64 + HEADER_BYTES;
                }
                in_transit.push_back((sender, to, msg));
            }
        }
    }
    // Each message counts at its sender and at its receiver.
    let per_node = |total: u64| 2 * total / (u64::from(ENTRIES) * MEASURED.as_secs());
    let (bytes, messages) = (per_node(bytes), per_node(messages));
    println!("{messages} messages/s and {bytes} bytes/s for each of {ENTRIES} entries");
    assert!(
        bytes <= LIMIT_BYTES_PER_S,
        "{bytes} bytes/s exceed the limit of {LIMIT_BYTES_PER_S} bytes/s"
    );
}
