//! Safety properties of several routers over a lossy network.
//!
//! For each property, a test removes a guard and expects the property to fail.

mod common;

use common::{ENTRIES, Network, Op, Violation};
use masticfield_routing::guards::{Guard, Guards};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;

/// Cases that must pass with all guards.
const CASES: u32 = 200;
/// Cases within which a removed guard must be detected.
const DEFECT_CASES: u32 = 3_000;

fn op() -> impl Strategy<Value = Op> {
    let entry = 0..ENTRIES;
    prop_oneof![
        8 => (1_u64..80).prop_map(Op::Advance),
        2 => (200_u64..900).prop_map(Op::Advance),
        10 => (entry.clone(), 1_usize..8, any::<bool>())
            .prop_map(|(entry, count, idempotent)| Op::Admit { entry, count, idempotent }),
        6 => (entry.clone(), 1_usize..5, 0_usize..5)
            .prop_map(|(entry, count, outcome)| Op::Finish { entry, count, outcome }),
        1 => (entry.clone(), entry.clone()).prop_map(|(a, b)| Op::Cut(a, b)),
        1 => entry.clone().prop_map(Op::Isolate),
        2 => Just(Op::Heal),
        1 => entry.clone().prop_map(Op::Kill),
        1 => entry.clone().prop_map(Op::Restart),
        3 => (entry.clone(), any::<u8>()).prop_map(|(entry, view)| Op::View(entry, view)),
        2 => Just(Op::CorrectViews),
        1 => entry.prop_map(Op::Stop),
    ]
}

fn check(cases: u32, guards: Guards, with_leave: bool) -> Result<(), String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        max_shrink_iters: 0,
        failure_persistence: None,
        ..Config::default()
    };
    let ops = prop::collection::vec(op(), 10..80);
    let strategy = (any::<u64>(), ops, 0_usize..10);
    let outcome = TestRunner::new(config).run(&strategy, |(seed, mut ops, position)| {
        if with_leave {
            ops.insert(position.min(ops.len()), Op::Leave(0));
        }
        let outcome = Network::new(seed, guards).run(&ops);
        outcome.map_err(|violation| TestCaseError::fail(format!("{violation:?}")))
    });
    outcome.map_err(|error| error.to_string())
}

#[rstest]
#[case::all_upstreams_serve(false)]
#[case::one_upstream_leaves(true)]
fn all_properties_hold(#[case] with_leave: bool) {
    assert_eq!(check(CASES, Guards::ALL, with_leave), Ok(()));
}

#[rstest]
#[case::majority(Guard::Majority, Violation::SlotsExceeded)]
#[case::wait_out(Guard::WaitOut, Violation::SlotsExceeded)]
#[case::lowered_grant(Guard::LoweredGrant, Violation::SlotsExceeded)]
#[case::idempotence(Guard::Idempotence, Violation::SentTwice)]
#[case::sent(Guard::Sent, Violation::NotRunButSent)]
#[case::leaving(Guard::Leaving, Violation::SentAfterLeaving)]
fn a_removed_guard_is_detected(#[case] guard: Guard, #[case] violation: Violation) {
    let outcome = check(DEFECT_CASES, Guards::without(guard), true);
    let error = outcome.expect_err("a removed guard must be detected");
    assert!(error.contains(&format!("{violation:?}")), "{error}");
}
