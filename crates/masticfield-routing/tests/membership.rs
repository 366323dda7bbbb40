//! Membership of entries and upstreams under lost datagrams, cut links, crashes and restarts.

mod network;

use std::time::Duration;

use masticfield_routing::membership::{Defect, Input, Timing};
use network::{Faults, Network};
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use rstest::rstest;

/// Maximum use of a leaving upstream while a third of the datagrams is lost, in milliseconds.
const LEAVING_LIMIT_MS: u64 = 3_000;

/// Number of seeds within which a defect must be detected.
const SEEDS: u64 = 100;

const THIRD_LOST: Faults = Faults {
    lost: 333,
    duplicated: 100,
    delayed: 50,
};

/// Upstreams leave one after another while a third of the datagrams is lost.
fn leaves_under_loss(seed: u64, defect: Defect) -> Network {
    let mut network = Network::new(seed, 5, 10, Timing::new(), defect);
    network.run_for(20_000);
    network.faults = THIRD_LOST;
    network.limit_ms = LEAVING_LIMIT_MS;
    for upstream in 0..8 {
        network.leave(upstream);
        network.run_for(1_500);
    }
    network.run_for(8_000);
    network
}

/// An installation that stops ends all entries at once. None waits for one that leaves as well.
#[test]
fn entries_that_leave_together_wait_for_none_of_them() {
    let mut network = Network::new(1, 4, 8, Timing::new(), Defect::None);
    network.run_for(20_000);
    for entry in 0..4 {
        network.step(entry, Input::Leave);
    }
    network.run_for(200);
    assert_eq!(network.left.len(), 4, "{:?}", network.left);
}

/// All datagrams are lost once upstreams leave, but delayed ones still arrive.
fn leaves_without_network(seed: u64, defect: Defect) -> Network {
    let mut network = Network::new(seed, 4, 8, Timing::new(), defect);
    network.faults.delayed = 200;
    network.run_for(40_000);
    network.faults.lost = 1_000;
    (0..6).for_each(|upstream| network.leave(upstream));
    network.run_for(40_000);
    network
}

/// Lost datagrams, cut links, crashes, restarts and leaves, followed by a recovery.
fn failure_waves(seed: u64, defect: Defect) -> Network {
    let forget_after = Duration::from_secs(150);
    let mut network = Network::new(
        seed,
        5,
        12,
        Timing::new().with_forget_after(forget_after),
        defect,
    );
    network.faults = THIRD_LOST;
    for _ in 0..5 {
        for _ in 0..network.random(4) {
            let (one, other) = (network.random(5), network.random(5));
            network.cut(one, other);
        }
        for _ in 0..6 {
            let (entry, upstream) = (network.random(5), network.random(12));
            match network.random(5) {
                0 => network.crash(entry),
                1 => network.start(entry),
                2 => network.leave(upstream),
                3 => network.restart(upstream),
                _ => {}
            }
            let pause = u64::try_from(network.random(15_000)).unwrap();
            network.run_for(pause);
        }
        network.cuts.clear();
    }
    network.faults = Faults::default();
    for entry in 0..5 {
        if network.entries[entry].is_none() {
            network.start(entry);
        }
    }
    network.run_for(45_000);
    network
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_new_work_three_seconds_after_leaving_with_a_third_lost(seed in any::<u64>()) {
        let network = leaves_under_loss(seed, Defect::None);
        prop_assert!(network.violations.is_empty(), "{:?}", network.violations);
    }

    #[test]
    fn no_new_work_after_the_time_to_live_with_all_lost(seed in any::<u64>()) {
        let network = leaves_without_network(seed, Defect::None);
        prop_assert!(network.violations.is_empty(), "{:?}", network.violations);
    }

    #[test]
    fn tables_converge_after_waves_of_failures(seed in any::<u64>()) {
        let network = failure_waves(seed, Defect::None);
        prop_assert!(network.violations.is_empty(), "{:?}", network.violations);
        let differences = network.differences();
        prop_assert!(differences.is_empty(), "{differences:?}");
    }
}

/// Without the guard, the scenario reports a violation or a difference.
#[rstest]
#[case::leaving_sent_once(Defect::SendLeavingOnce, leaves_under_loss)]
#[case::leaving_sent_to_live_only(Defect::SendLeavingToLiveOnly, leaves_under_loss)]
#[case::confirmed_from_arrival(Defect::ConfirmFromArrival, leaves_without_network)]
#[case::confirmed_forever(Defect::ConfirmForever, leaves_without_network)]
#[case::last_update_wins(Defect::LastUpdateWins, failure_waves)]
fn a_seeded_defect_is_detected(
    #[case] defect: Defect,
    #[case] scenario: fn(u64, Defect) -> Network,
) {
    let detected = (0..SEEDS).any(|seed| {
        let network = scenario(seed, defect);
        !network.violations.is_empty() || !network.differences().is_empty()
    });
    assert!(detected, "{defect:?} was not detected within {SEEDS} seeds");
}

#[test]
fn a_suspicion_is_refuted_by_a_heartbeat() {
    let mut network = Network::new(1, 3, 0, Timing::new(), Defect::None);
    network.run_for(5_000);
    network.cut(1, 2);
    network.run_for(10_000);
    let live = |network: &Network| network.entries[1].as_ref().unwrap().live_peers().count();
    assert_eq!(live(&network), 1);
    network.cuts.clear();
    network.run_for(2_000);
    assert_eq!(live(&network), 2);
}
