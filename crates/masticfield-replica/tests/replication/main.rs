//! Property tests of replication under failures; invariants are checked after each action.

mod action;
mod cluster;

use assert_matches::assert_matches;
use masticfield_replica::consensus::Defect;
use proptest::test_runner::{Config, RngSeed, TestError, TestRunner};
use rstest::rstest;

use action::{Action, actions, actions_with_full_disks};
use cluster::Cluster;

/// Number of action sequences that a property is tested with.
const CASES: u32 = 48;

/// Time within which a group must store a decision after its leader has stopped, in milliseconds.
const FAILOVER_MS: u64 = 1_500;

fn run(size: u64, defect: Option<Defect>, actions: &[Action]) -> Result<(), String> {
    let mut cluster = Cluster::new(size, defect);
    for action in actions {
        cluster.perform(action);
        cluster.check()?;
    }
    cluster.recover()
}

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..Config::default()
    })
}

#[rstest]
#[case::three(3)]
#[case::five(5)]
#[case::seven(7)]
fn nothing_committed_is_lost_under_failures(#[case] size: u64) {
    let result = runner(CASES / u32::try_from(size).unwrap() * 3).run(&actions(), |actions| {
        run(size, None, &actions).map_err(proptest::test_runner::TestCaseError::fail)
    });
    assert_matches!(result, Ok(()));
}

/// Guards against votes, acknowledgements and commits by replicas that could not store them, and
/// against a group that stays idle once there is space.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn nothing_committed_is_lost_with_full_disks(#[case] size: u64) {
    let cases = CASES / u32::try_from(size).unwrap() * 3;
    let result = runner(cases).run(&actions_with_full_disks(), |actions| {
        run(size, None, &actions).map_err(proptest::test_runner::TestCaseError::fail)
    });
    assert_matches!(result, Ok(()));
}

#[test]
fn acknowledgement_without_space_is_found() {
    let defect = Some(Defect::AcknowledgeWithoutSpace);
    let result = runner(50 * CASES).run(&actions_with_full_disks(), |actions| {
        run(3, defect, &actions).map_err(proptest::test_runner::TestCaseError::fail)
    });
    let error = result.expect_err("an invariant is violated without the guard");
    assert_matches!(&error, TestError::Fail(reason, _) => println!("{reason}"));
}

#[rstest]
#[case::acknowledge_before_sync(Defect::AcknowledgeBeforeSync)]
#[case::vote_for_shorter_log(Defect::VoteForShorterLog)]
#[case::vote_despite_leader(Defect::VoteDespiteLeader)]
fn missing_guard_is_found(#[case] defect: Defect) {
    let result = runner(50 * CASES).run(&actions(), |actions| {
        run(3, Some(defect), &actions).map_err(proptest::test_runner::TestCaseError::fail)
    });
    let error = result.expect_err("an invariant is violated without the guard");
    assert_matches!(&error, TestError::Fail(reason, _) => println!("{defect:?}: {reason}"));
}

/// The leader stops at each phase of its heartbeats, and the delays of elections differ.
#[rstest]
#[case::three(3)]
#[case::five(5)]
fn a_group_that_lost_its_leader_stores_again_in_time(#[case] size: u64) {
    let times = (0..300).map(|jitter| {
        let mut cluster = Cluster::with_jitter(size, None, jitter);
        let steps = 300 + jitter % 12;
        cluster.perform(&Action::Run(steps));
        cluster.fail_over().expect("another leader commits")
    });
    let mut times: Vec<_> = times.collect();
    times.sort_unstable();
    let (median, longest) = (times[times.len() / 2], times[times.len() - 1]);
    println!("{size} replicas: median {median} ms, longest {longest} ms");
    assert!(longest <= FAILOVER_MS, "{longest} ms without a leader");
}
