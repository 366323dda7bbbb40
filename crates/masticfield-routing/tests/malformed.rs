//! Datagrams of broken or foreign entries. Neither decoding nor the membership may panic.

use std::time::{Duration, Instant};

use masticfield_core::ids::{EntryId, Incarnation};
use masticfield_core::membership::{Announcement, EntryInfo, UpstreamState};
use masticfield_routing::membership::{
    Change, Heartbeat, Input, LeavingUpstream, Membership, Page, PeerBody, PeerMessage, Refresh,
    StreamPosition, Timing, UpstreamRecord,
};
use masticfield_routing::slots::SlotMessage;
use masticfield_wire::datagram;
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::Index;

const ME: EntryId = EntryId::new(1);

/// Small, usual and extreme numbers.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        0_u64..4,
        Just(u64::MAX),
        Just(u64::MAX - 1),
        Just(u64::MAX / 2),
        any::<u64>(),
    ]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![0_u32..4, Just(u32::MAX), Just(u32::MAX - 1), any::<u32>()]
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        Just("u-1".into()),
        Just("u-2".into()),
        Just(String::new()),
        Just("u".repeat(900))
    ]
}

fn position() -> impl Strategy<Value = StreamPosition> {
    (small_number(), number()).prop_map(|(stream, revision)| StreamPosition { stream, revision })
}

fn info() -> impl Strategy<Value = EntryInfo> {
    (0_u16..4, number(), any::<u16>(), text()).prop_map(|(id, incarnation, port, zone)| EntryInfo {
        id: EntryId::new(id),
        incarnation: Incarnation::new(incarnation),
        peer_address: ([127, 0, 0, 1], port).into(),
        zone: zone.into(),
    })
}

fn announcement() -> impl Strategy<Value = Announcement> {
    let numbers = (number(), any::<u16>(), any::<[u16; 2]>(), any::<bool>());
    (text(), text(), numbers).prop_map(
        |(id, name, (incarnation, port, [slots, connections], leaving))| Announcement {
            id: id.into(),
            incarnation: Incarnation::new(incarnation),
            service: name.as_str().into(),
            address: ([127, 0, 0, 1], port).into(),
            host: name.as_str().into(),
            zone: name.as_str().into(),
            slots,
            connections,
            state: if leaving {
                UpstreamState::Leaving
            } else {
                UpstreamState::Serving
            },
        },
    )
}

fn heartbeat() -> impl Strategy<Value = PeerBody> {
    let refresh = (number(), small_number());
    let refresh = refresh.prop_map(|(revision, age_ms)| Refresh { revision, age_ms });
    let numbers = (
        small_number(),
        option::of(small_number()),
        number(),
        small_number(),
    );
    (numbers, position(), vec(refresh, 0..3), option::of(info())).prop_map(
        |((seq, echo, revision, members_digest), applied, refreshes, info)| {
            PeerBody::Heartbeat(Heartbeat {
                seq,
                echo,
                revision,
                applied,
                members_digest,
                refreshes,
                info,
            })
        },
    )
}

fn page() -> impl Strategy<Value = PeerBody> {
    let record = prop_oneof![
        announcement().prop_map(UpstreamRecord::Announced),
        text().prop_map(|id| UpstreamRecord::Removed(id.into())),
    ];
    let change = (number(), record).prop_map(|(revision, record)| Change { revision, record });
    (small_number(), number(), number(), vec(change, 0..3)).prop_map(
        |(stream, base, upto, changes)| {
            PeerBody::Page(Page {
                stream,
                base,
                upto,
                changes,
            })
        },
    )
}

fn leaving() -> impl Strategy<Value = LeavingUpstream> {
    (number(), text(), number()).prop_map(|(revision, id, incarnation)| LeavingUpstream {
        revision,
        id: id.into(),
        incarnation: Incarnation::new(incarnation),
    })
}

fn message() -> impl Strategy<Value = PeerMessage> {
    let body = prop_oneof![
        heartbeat(),
        page(),
        position().prop_map(PeerBody::PageAck),
        vec(leaving(), 0..3).prop_map(PeerBody::Leaving),
        vec(number(), 0..3).prop_map(PeerBody::LeavingAck),
        vec(info(), 0..3).prop_map(PeerBody::Members),
        Just(PeerBody::Leave),
        Just(PeerBody::LeaveAck),
    ];
    let to = prop_oneof![Just(None), Just(Some(1)), number().prop_map(Some)];
    (0_u16..4, number(), to, body).prop_map(|(from, incarnation, to, body)| PeerMessage {
        from: EntryId::new(from),
        incarnation: Incarnation::new(incarnation),
        to: to.map(Incarnation::new),
        body,
    })
}

/// Passes messages to an entry, with ticks and an announcement of its own in between.
fn receive_all(messages: Vec<PeerMessage>, own: &Announcement) {
    let me = EntryInfo {
        id: ME,
        incarnation: Incarnation::new(1),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        zone: "z".into(),
    };
    let mut now = Instant::now();
    let mut membership = Membership::new(me, [], Timing::new());
    for msg in messages {
        membership.step(now, Input::Received(msg));
        membership.step(now, Input::Announced(own.clone()));
        now += Duration::from_millis(700);
        for action in membership.step(now, Input::Tick) {
            drop(action);
        }
        assert!(membership.all_serving(now).count() <= 16);
    }
    membership.step(now, Input::Leave);
    membership.step(now + Duration::from_secs(30), Input::Tick);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    #[test]
    fn no_bytes_take_a_decoder_down(body in vec(any::<u8>(), 0..300)) {
        let bytes = [&[1], body.as_slice()].concat();
        _ = datagram::decode::<PeerMessage>(&bytes);
        _ = datagram::decode::<SlotMessage>(&bytes);
    }

    #[test]
    fn no_message_takes_the_membership_down(
        messages in vec(message(), 1..12),
        own in announcement(),
    ) {
        receive_all(messages, &own);
    }

    #[test]
    fn no_damaged_datagram_takes_the_membership_down(
        messages in vec(message(), 1..6),
        damage in vec((any::<Index>(), any::<u8>()), 1..4),
        own in announcement(),
    ) {
        let mut received = Vec::new();
        for msg in &messages {
            // Longer messages are not sent.
            let Ok(mut bytes) = datagram::encode(msg) else { continue };
            for (at, byte) in &damage {
                *at.get_mut(&mut bytes) = *byte;
            }
            received.extend(datagram::decode::<PeerMessage>(&bytes));
        }
        receive_all(received, &own);
    }
}
