//! The experiment on jobs: each order gets the same load, and none breaks a rule.

use masticfield_emulator::Fleet;
use masticfield_measure::jobs::compare;
use rstest::rstest;

#[rstest]
#[case::small(Fleet::small())]
#[case::surges_by_turns(Fleet::vulpescu())]
fn each_order_gets_the_same_load_and_keeps_the_rules(#[case] fleet: Fleet) {
    let figures = compare(&fleet, 1, 6_000);
    for order in figures.baselines.iter().chain([&figures.ours]) {
        assert_eq!(order.asked, figures.ours.asked, "{}", order.order);
        assert_eq!(
            (order.over_room, order.run_twice, order.lost),
            (0, 0, 0),
            "{}",
            order.order
        );
    }
    assert!(figures.ours.on_time > 0);
}
