//! Safety and convergence of plans under random failures.

mod harness;

use std::sync::Arc;
use std::time::Duration;

use harness::{Harness, Violation};
use masticfield_core::fleet::Action;
use masticfield_fleet::Planner;
use masticfield_fleet::plan::Guards;
use proptest::prelude::*;
use rstest::rstest;

/// An external event: a host or rack failure, a recovery, a change of the leader, or time passing.
#[derive(Debug, Clone)]
enum Event {
    Fail(usize),
    Repair(usize),
    Isolate(usize),
    Connect(usize),
    FailRack(usize),
    FailOver,
    Wait(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0..50usize).prop_map(Event::Fail),
        3 => (0..50usize).prop_map(Event::Repair),
        3 => (0..50usize).prop_map(Event::Isolate),
        3 => (0..50usize).prop_map(Event::Connect),
        1 => (0..13usize).prop_map(Event::FailRack),
        1 => Just(Event::FailOver),
        6 => (1..40u64).prop_map(Event::Wait),
    ]
}

/// Applies an event and runs one step.
fn apply(harness: &mut Harness, event: &Event) {
    let hosts: Vec<_> = harness.control.config().hosts().values().cloned().collect();
    let name = |index: &usize| Arc::clone(&hosts[index % hosts.len()].name);
    match event {
        Event::Fail(index) => harness.platform.fail(&name(index)),
        Event::Repair(index) => harness.platform.repair(&name(index)),
        Event::Isolate(index) => harness.platform.isolate(&name(index), true),
        Event::Connect(index) => harness.platform.isolate(&name(index), false),
        Event::FailRack(index) => {
            let rack = Arc::clone(&hosts[index * 4 % hosts.len()].rack);
            for host in hosts.iter().filter(|host| host.rack == rack) {
                harness.platform.fail(&host.name);
            }
        }
        Event::FailOver => harness.control.fail_over(),
        Event::Wait(steps) => {
            for _ in 0..*steps {
                harness.step();
            }
        }
    }
    harness.step();
}

/// Repairs every host and runs until 800 steps in a row plan nothing.
///
/// Gives up after 20,000 steps; the caller checks the result.
fn run_until_converged(harness: &mut Harness) {
    let hosts: Vec<_> = harness.control.config().hosts().keys().cloned().collect();
    for host in hosts {
        harness.platform.repair(&host);
    }
    let mut idle_steps = 0;
    for _ in 0..20_000 {
        idle_steps = if harness.step().is_empty() {
            idle_steps + 1
        } else {
            0
        };
        if idle_steps == 800 {
            return;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    #[test]
    fn no_host_in_two_pools_and_no_budget_overdrawn(events in prop::collection::vec(event(), 1..40)) {
        let mut harness = Harness::new(&harness::vitoria(), Planner::new());
        harness.run(Duration::from_mins(2));
        for event in &events {
            apply(&mut harness, event);
        }
        prop_assert_eq!(&harness.violations, &[]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3, ..ProptestConfig::default() })]

    #[test]
    fn every_note_reaches_its_end_and_then_nothing_is_planned(events in prop::collection::vec(event(), 1..20)) {
        let mut harness = Harness::new(&harness::vitoria(), Planner::new());
        for event in &events {
            apply(&mut harness, event);
        }
        run_until_converged(&mut harness);
        let pools: Vec<_> = harness.control.config().pools().values().cloned().collect();
        for pool in pools {
            prop_assert!(harness.owned(&pool.name).len() >= pool.hosts as usize, "{}", pool.name);
        }
        prop_assert_eq!(harness.step(), []);
        prop_assert_eq!(&harness.violations, &[]);
    }
}

#[rstest]
#[case::release(Guards { release_needs_proof: false, ..Guards::default() }, Violation::TwoPools)]
#[case::budget(Guards { budget: false, ..Guards::default() }, Violation::BudgetOverdrawn)]
fn a_disabled_guard_causes_a_violation(#[case] guards: Guards, #[case] expected: Violation) {
    let mut harness = Harness::new(&harness::vitoria(), Planner::new().guards(guards));
    harness.run(Duration::from_hours(1));
    for host in ["vit-a-01", "vit-b-01", "vit-c-01"] {
        harness.platform.isolate(host, true);
    }
    harness.run(Duration::from_mins(1));
    for host in ["vit-a-01", "vit-b-01", "vit-c-01"] {
        harness.platform.isolate(host, false);
    }
    harness.run(Duration::from_hours(12));
    assert!(
        harness.violations.contains(&expected),
        "{:?}",
        harness.violations
    );
}

#[test]
fn the_same_scenario_with_all_guards_has_no_violation() {
    let mut harness = Harness::new(&harness::vitoria(), Planner::new());
    harness.run(Duration::from_hours(1));
    harness.platform.isolate("vit-a-01", true);
    harness.run(Duration::from_mins(1));
    harness.platform.isolate("vit-a-01", false);
    harness.run(Duration::from_hours(12));
    assert_eq!(harness.violations, []);
    let reboots = harness.count(|planned| matches!(planned.action, Action::Reboot { .. }));
    assert_eq!(reboots, 50);
}
