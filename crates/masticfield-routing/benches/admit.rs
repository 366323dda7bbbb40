//! Admission and end of a request, the hot path of an entry.

use std::hint::black_box;
use std::time::Duration;

use criterion::{Criterion, criterion_group, criterion_main};
use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_core::note::{Promise, ServiceSpec};
use masticfield_routing::options::RouterOptions;
use masticfield_routing::request::{Admission, DispatchOutcome, Request};
use masticfield_routing::router::{Router, RouterIdentity};

fn spec() -> ServiceSpec {
    ServiceSpec {
        name: "fabric-cutting".into(),
        pool: "cutting".into(),
        executors: 12,
        slots: 8,
        connections: 64,
        deadline: Duration::from_secs(5),
        max_body_bytes: 1_024,
        promise: Promise::default(),
    }
}

fn router() -> Router {
    let identity = RouterIdentity {
        entry: EntryId::new(1),
        incarnation: Incarnation::new(1),
        zone: "zone-0".into(),
    };
    let mut router = Router::new(identity, RouterOptions::default(), 7);
    router.configure(&[spec()]);
    router.set_entries(Duration::ZERO, &[EntryId::new(1)], &[EntryId::new(1)]);
    for number in 0..12_u16 {
        let announcement = Announcement {
            id: format!("cutter-{number}").into(),
            incarnation: Incarnation::new(1),
            service: "fabric-cutting".into(),
            address: ([127, 0, 0, 1], 9_000 + number).into(),
            host: format!("host-{number}").into(),
            zone: format!("zone-{}", number % 3).into(),
            slots: 8,
            connections: 64,
            state: UpstreamState::Serving,
        };
        router.upsert_upstream(Duration::ZERO, &announcement);
    }
    // Time for the router to become home of its upstreams and to grant itself their slots.
    for ms in (0..1_500).step_by(5) {
        router.tick(Duration::from_millis(ms));
    }
    router
}

fn admit_and_finish(c: &mut Criterion) {
    let mut router = router();
    let now = Duration::from_millis(1_500);
    let req = Request {
        service: "fabric-cutting".into(),
        caller: "salon-1".into(),
        zone: None,
        deadline: None,
        idempotent: true,
    };
    c.bench_function("admit and finish", |b| {
        b.iter(|| match router.admit(now, black_box(req.clone())) {
            Admission::Run(dispatch) => {
                let outcome = DispatchOutcome::Answered { faulty: false };
                black_box(router.finish(now, dispatch.key, outcome));
            }
            other => panic!("expected a dispatch, as a slot is free: {other:?}"),
        });
    });
}

criterion_group!(benches, admit_and_finish);
criterion_main!(benches);
