//! Plans are drawn from their seed alone, and stay within what is tolerated.

use masticfield_soak::faults::{Fault, FaultSet, Plan, PlanOptions};
use rstest::rstest;

fn options(seed: u64, faults: FaultSet) -> PlanOptions {
    PlanOptions {
        seed,
        length_ms: 300_000,
        interval_ms: 1_200,
        controls: 3,
        entries: 9,
        executors: 12,
        faults,
    }
}

#[test]
fn equal_seeds_give_equal_plans() {
    let draw = |seed| Plan::draw(&options(seed, FaultSet::All));
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

/// While a replica that lost data catches up, no other control program is disturbed.
#[rstest]
fn a_loss_of_data_comes_alone(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let plan = Plan::draw(&options(seed, FaultSet::All));
    let losses = plan
        .faults
        .iter()
        .filter(|planned| planned.fault.loses_data());
    for loss in losses {
        let catch_up = loss.at_ms..loss.at_ms + loss.duration_ms + 20_000;
        let others = plan.faults.iter().filter(|other| *other != loss);
        let other = others
            .filter(|other| other.fault.hits_control())
            .find(|other| catch_up.contains(&other.at_ms));
        assert_eq!(other, None, "beside {loss:?}");
    }
}

#[test]
fn every_kind_of_fault_is_drawn() {
    let plans = (0..20).map(|seed| Plan::draw(&options(seed, FaultSet::All)));
    let faults: Vec<_> = plans.flat_map(|plan| plan.faults).collect();
    let kinds: std::collections::BTreeSet<_> =
        faults.iter().map(|planned| planned.fault.kind()).collect();
    assert_eq!(kinds.len(), 17, "{kinds:?}");
}

/// Executors crash one after the other, often enough under one task, and are back soon, while other
/// faults begin.
#[rstest]
fn executors_crash_in_series(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
    #[values(FaultSet::Basic, FaultSet::All)] faults: FaultSet,
) {
    let plan = Plan::draw(&options(seed, faults));
    let series = plan.faults.iter().filter_map(|planned| {
        let Fault::CrashSeries { crashes, same_id } = planned.fault else {
            return None;
        };
        let during = planned.at_ms..planned.at_ms + 10_000;
        let others = plan.faults.iter().filter(|other| *other != planned);
        let beside = others.filter(|other| during.contains(&other.at_ms)).count();
        Some((crashes, same_id, planned.duration_ms, beside))
    });
    let series: Vec<_> = series.collect();
    assert!(series.len() >= 10, "{series:?}");
    for (crashes, _, duration_ms, beside) in &series {
        assert!((6..10).contains(crashes), "{series:?}");
        assert!((1_000..4_000).contains(duration_ms), "{series:?}");
        assert!(*beside > 0, "{series:?}");
    }
    let with_same_id = series.iter().filter(|(_, same_id, ..)| *same_id).count();
    assert!((1..series.len()).contains(&with_same_id), "{series:?}");
}

/// A short plan, such as that of the tests, has a series as well.
#[test]
fn a_short_plan_has_a_series_of_crashes() {
    let plan = Plan::draw(&PlanOptions {
        length_ms: 15_000,
        ..options(2, FaultSet::Basic)
    });
    let mut faults = plan.faults.iter();
    assert!(faults.any(|planned| planned.fault.kind() == "crash-series"));
}

#[test]
fn basic_plans_leave_disks_alone() {
    let plans = (0..20).map(|seed| Plan::draw(&options(seed, FaultSet::Basic)));
    let disks = plans.flat_map(|plan| plan.faults).filter(|planned| {
        planned.fault.loses_data() || matches!(planned.fault, Fault::FullDisk(_))
    });
    assert_eq!(disks.count(), 0);
}

#[test]
fn a_plan_without_faults_is_empty() {
    let plan = Plan::draw(&options(1, FaultSet::None));
    assert_eq!((plan.faults, plan.last), (vec![], vec![]));
}
