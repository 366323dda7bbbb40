//! Properties that hold for every plan, whatever fails and when.

mod rig;

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::Action;
use masticfield_fleet::Planner;
use masticfield_fleet::plan::Guards;
use proptest::prelude::*;
use rig::{Rig, Violation};
use rstest::rstest;

/// Something that happens to the fleet.
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

fn happen(rig: &mut Rig, event: &Event) {
    let hosts: Vec<_> = rig.control.config().hosts().values().cloned().collect();
    let name = |index: &usize| Arc::clone(&hosts[index % hosts.len()].name);
    match event {
        Event::Fail(index) => rig.platform.fail(&name(index)),
        Event::Repair(index) => rig.platform.repair(&name(index)),
        Event::Isolate(index) => rig.platform.isolate(&name(index), true),
        Event::Connect(index) => rig.platform.isolate(&name(index), false),
        Event::FailRack(index) => {
            let rack = Arc::clone(&hosts[index * 4 % hosts.len()].rack);
            for host in hosts.iter().filter(|host| host.rack == rack) {
                rig.platform.fail(&host.name);
            }
        }
        Event::FailOver => rig.control.fail_over(),
        Event::Wait(steps) => {
            for _ in 0..*steps {
                rig.step();
            }
        }
    }
    rig.step();
}

/// Brings every host back and waits until maintenance and repairs are over.
fn calm(rig: &mut Rig) {
    let hosts: Vec<_> = rig.control.config().hosts().keys().cloned().collect();
    for host in hosts {
        rig.platform.repair(&host);
    }
    let mut quiet = 0;
    for _ in 0..20_000 {
        quiet = if rig.step().is_empty() { quiet + 1 } else { 0 };
        if quiet == 800 {
            return;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 12, ..ProptestConfig::default() })]

    #[test]
    fn no_host_in_two_pools_and_no_budget_overdrawn(events in prop::collection::vec(event(), 1..40)) {
        let mut rig = Rig::new(&rig::vitoria(), Planner::new());
        rig.run(Duration::from_mins(2));
        for event in &events {
            happen(&mut rig, event);
        }
        prop_assert_eq!(&rig.violations, &[]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3, ..ProptestConfig::default() })]

    #[test]
    fn every_note_reaches_its_end_and_then_nothing_is_planned(events in prop::collection::vec(event(), 1..20)) {
        let mut rig = Rig::new(&rig::vitoria(), Planner::new());
        for event in &events {
            happen(&mut rig, event);
        }
        calm(&mut rig);
        let pools: Vec<_> = rig.control.config().pools().values().cloned().collect();
        for pool in pools {
            prop_assert!(rig.owned(&pool.name).len() >= pool.hosts as usize, "{}", pool.name);
        }
        prop_assert_eq!(rig.step(), []);
        prop_assert_eq!(&rig.violations, &[]);
    }
}

#[rstest]
#[case::release(Guards { release_needs_proof: false, ..Guards::default() }, Violation::TwoPools)]
#[case::budget(Guards { budget: false, ..Guards::default() }, Violation::BudgetOverdrawn)]
fn a_missing_guard_is_found(#[case] guards: Guards, #[case] expected: Violation) {
    let mut rig = Rig::new(&rig::vitoria(), Planner::new().guards(guards));
    rig.run(Duration::from_hours(1));
    for host in ["vit-a-01", "vit-b-01", "vit-c-01"] {
        rig.platform.isolate(host, true);
    }
    rig.run(Duration::from_mins(1));
    for host in ["vit-a-01", "vit-b-01", "vit-c-01"] {
        rig.platform.isolate(host, false);
    }
    rig.run(Duration::from_hours(12));
    assert!(rig.violations.contains(&expected), "{:?}", rig.violations);
}

#[test]
fn the_same_scenario_with_all_guards_breaks_nothing() {
    let mut rig = Rig::new(&rig::vitoria(), Planner::new());
    rig.run(Duration::from_hours(1));
    rig.platform.isolate("vit-a-01", true);
    rig.run(Duration::from_mins(1));
    rig.platform.isolate("vit-a-01", false);
    rig.run(Duration::from_hours(12));
    assert_eq!(rig.violations, []);
    let reboots = rig.count(|planned| matches!(planned.action, Action::Reboot { .. }));
    assert_eq!(reboots, 50);
}
