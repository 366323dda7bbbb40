//! Fixtures: entries, a service and its upstreams.

use std::time::Duration;

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_core::note::{Promise, ServiceSpec};

/// Slots of each upstream.
pub const SLOTS: u16 = 4;

const DEADLINE: Duration = Duration::from_millis(400);

pub fn id(number: usize) -> EntryId {
    EntryId::new(u16::try_from(number).unwrap_or(u16::MAX))
}

pub fn spec() -> ServiceSpec {
    ServiceSpec {
        name: "cutting".into(),
        pool: "cutting".into(),
        executors: 2,
        slots: SLOTS,
        connections: 64,
        deadline: DEADLINE,
        max_body_bytes: 1_024,
        promise: Promise::default(),
    }
}

pub fn announcement(number: usize, leaving: bool) -> Announcement {
    let port = 9_000 + u16::try_from(number).unwrap_or(0);
    Announcement {
        id: format!("cutter-{number}").into(),
        incarnation: Incarnation::new(1),
        service: "cutting".into(),
        address: ([127, 0, 0, 1], port).into(),
        host: format!("host-{number}").into(),
        zone: format!("zone-{number}").into(),
        slots: SLOTS,
        connections: 64,
        state: if leaving {
            UpstreamState::Leaving
        } else {
            UpstreamState::Serving
        },
    }
}
