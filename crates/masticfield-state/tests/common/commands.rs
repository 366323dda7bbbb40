//! Random commands over a few hosts, pools, jobs, entries and keys.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::claim::{Claim, ClaimEnd, ClaimKey};
use masticfield_core::fleet::{Action, Generation, Planned, Reason, TaskPhase};
use masticfield_core::ids::{EntryId, Incarnation, RequestId};
use masticfield_core::note::Resources;
use masticfield_state::{Command, LeaderAddresses, TaskEnd};
use proptest::prelude::*;

use crate::notes::note;

fn host() -> impl Strategy<Value = Arc<str>> {
    prop_oneof![Just("h0".into()), Just("h1".into())]
}

fn generation() -> impl Strategy<Value = Generation> {
    (0_u64..5).prop_map(Generation::new)
}

fn action() -> impl Strategy<Value = Action> {
    let pool = prop_oneof![Just(Arc::from("p0")), Just(Arc::from("p1"))];
    (host(), pool, generation(), 0_u8..8, 0_u32..3).prop_map(
        |(host, pool, generation, kind, attempt)| match kind {
            0 | 1 => Action::Own {
                host,
                pool,
                generation,
            },
            2 => Action::Drain { host, generation },
            3 => Action::Release { host, generation },
            4 => Action::Resume { host, generation },
            5 => Action::Reboot {
                host,
                generation,
                completed: 0,
            },
            6 => Action::Quarantine {
                host,
                period: Duration::from_secs(1),
            },
            _ => Action::StartTask {
                job: "j0".into(),
                index: 0,
                attempt,
                host,
                generation,
                size: Resources::default(),
            },
        },
    )
}

fn claim_parts() -> impl Strategy<Value = (ClaimKey, RequestId)> {
    (0_u8..3, 0_u64..3, 1_u16..3, 0_u64..4).prop_map(|(digest, issued_s, entry, sequence)| {
        let key = ClaimKey::from_digest([digest; 16], issued_s);
        (key, RequestId::new(EntryId::new(entry), sequence))
    })
}

/// Strategy for arbitrary commands.
pub fn command() -> impl Strategy<Value = Command> {
    let end = prop_oneof![
        Just(ClaimEnd::Ran),
        Just(ClaimEnd::NotRun),
        Just(ClaimEnd::Unknown)
    ];
    let claim = claim_parts().prop_map(|(key, request)| Claim {
        key,
        fingerprint: [1; 16],
        request,
    });
    let planned = action().prop_map(|action| Planned {
        action,
        reason: Reason::Operator,
    });
    let entry =
        (1_u16..3, 0_u64..3).prop_map(|(entry, n)| (EntryId::new(entry), Incarnation::new(n)));
    prop_oneof![
        8 => proptest::collection::vec(planned, 1..3).prop_map(Command::Actions),
        3 => (host(), generation())
            .prop_map(|(host, drained)| Command::HostReport { host, drained }),
        2 => (host(), generation(), 0_u64..2)
            .prop_map(|(host, generation, term)| Command::LeasesEnded { host, generation, term }),
        1 => (0_u64..2).prop_map(|term| Command::Lead { term, addresses: LeaderAddresses::default() }),
        1 => host().prop_map(|host| Command::Drain { host }),
        1 => host().prop_map(|host| Command::Undrain { host }),
        1 => (0_u32..3).prop_map(|attempt| Command::TasksEnded(vec![TaskEnd {
            job: "j0".into(), index: 0, attempt, phase: TaskPhase::Failed,
        }])),
        2 => (2_u64..4, 1_u64..3, 0_u8..2)
            .prop_map(|(n, base, pool)| Command::Note(Box::new(note(n, base, &format!("q{pool}"))))),
        3 => proptest::collection::vec(claim, 1..3).prop_map(Command::Claims),
        2 => (claim_parts(), end)
            .prop_map(|((key, request), end)| Command::ClaimEnds(vec![(key, request, end)])),
        1 => entry.clone().prop_map(|(entry, incarnation)| Command::EntryUp { entry, incarnation }),
        1 => (entry, 0_u64..2).prop_map(|((entry, incarnation), term)| {
            Command::EntryGone { entry, incarnation, term }
        }),
        1 => (0_u64..4).prop_map(|version| Command::InForce { version }),
    ]
}
