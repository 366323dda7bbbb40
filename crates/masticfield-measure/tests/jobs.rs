//! Every job order of the `jobs` experiment gets the same load and breaks no scheduling rule.

use masticfield_emulator::Fleet;
use masticfield_measure::jobs::compare;
use rstest::rstest;

#[rstest]
#[case::small(Fleet::small())]
#[case::alternating_surges(Fleet::vulpescu())]
fn every_order_gets_the_same_load_and_breaks_no_rule(#[case] fleet: Fleet) {
    let comparison = compare(&fleet, 1, 6_000);
    for report in comparison.baselines.iter().chain([&comparison.ours]) {
        assert_eq!(
            report.submitted, comparison.ours.submitted,
            "{}",
            report.order
        );
        assert_eq!(
            (
                report.over_capacity,
                report.duplicate_runs,
                report.unfinished
            ),
            (0, 0, 0),
            "{}",
            report.order
        );
    }
    assert!(comparison.ours.on_time > 0);
}
