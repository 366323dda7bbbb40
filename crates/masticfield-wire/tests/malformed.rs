//! Datagrams of broken or foreign senders. No decoder may panic.

use masticfield_core::ids::{EntryId, Incarnation, RequestId};
use masticfield_core::membership::{Announcement, UpstreamState};
use masticfield_wire::control::{ControlToEntry, EntryToControl};
use masticfield_wire::{WIRE_VERSION, datagram};
use proptest::prelude::*;

fn valid_datagrams() -> Vec<Vec<u8>> {
    let announcement = Announcement {
        id: "u-1".into(),
        incarnation: Incarnation::new(7),
        service: "s".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        host: "h".into(),
        zone: "z".into(),
        slots: 8,
        connections: 64,
        state: UpstreamState::Serving,
    };
    let messages = [
        EntryToControl::Renew {
            sequence: 3,
            version: 9,
        },
        EntryToControl::Upstreams {
            changed: vec![announcement],
            expired: vec![("u-2".into(), Incarnation::new(1))],
        },
        EntryToControl::Claims {
            sequence: 1,
            claims: Vec::new(),
        },
    ];
    let mut datagrams: Vec<_> = messages
        .iter()
        .map(|msg| datagram::encode(msg).unwrap())
        .collect();
    let lease = ControlToEntry::Lease {
        sequence: 3,
        version: 9,
        ttl: std::time::Duration::from_secs(2),
    };
    datagrams.push(datagram::encode(&lease).unwrap());
    let request = RequestId::new(EntryId::new(1), 5);
    datagrams.push(datagram::encode(&request).unwrap());
    datagrams
}

fn decode_all(bytes: &[u8]) {
    _ = datagram::decode::<EntryToControl>(bytes);
    _ = datagram::decode::<ControlToEntry>(bytes);
    _ = datagram::decode::<RequestId>(bytes);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_datagram_takes_a_decoder_down(
        version in prop_oneof![Just(WIRE_VERSION), any::<u8>()],
        body in prop::collection::vec(any::<u8>(), 0..300),
    ) {
        decode_all(&[&[version], body.as_slice()].concat());
    }

    #[test]
    fn no_damaged_datagram_takes_a_decoder_down(
        kind in any::<prop::sample::Index>(),
        damage in prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 0..8),
        cut in any::<prop::sample::Index>(),
    ) {
        let datagrams = valid_datagrams();
        let mut bytes = kind.get(&datagrams).clone();
        for (at, byte) in damage {
            *at.get_mut(&mut bytes) = byte;
        }
        decode_all(&bytes);
        decode_all(&bytes[..cut.index(bytes.len())]);
    }
}

/// Guards against memory that is reserved for a length which the sender only claims.
#[test]
fn a_list_that_claims_to_be_huge_is_an_error() {
    let mut bytes = datagram::encode(&EntryToControl::EndedClaims(Vec::new())).unwrap();
    bytes.pop();
    bytes.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01]);
    assert!(datagram::decode::<EntryToControl>(&bytes).is_err());
}
