//! Behaviour of the fleet under host failures, isolation, reboots and maintenance.

mod harness;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use harness::Harness;
use masticfield_core::fleet::{Action, Ownership, Reason};
use masticfield_core::note::{MaintenanceSpec, ReleaseNote};
use masticfield_fleet::Planner;
use masticfield_fleet::plan::Guards;

fn names(prefix: &str, numbers: impl Iterator<Item = u32>) -> Vec<String> {
    numbers
        .map(|number| format!("{prefix}-{number:02}"))
        .collect()
}

/// Whether every pool but the spare ones owns the hosts that it needs.
fn is_converged(harness: &Harness) -> bool {
    let pools = harness.control.config().pools().values();
    pools
        .filter(|pool| !pool.spare)
        .all(|pool| harness.owned(&pool.name).len() >= pool.hosts as usize)
}

/// Number of times that a pool came to own a host that was owned before.
fn moves(harness: &Harness) -> usize {
    harness.count(|planned| matches!(planned.action, Action::Own { generation, .. } if generation.number() > 1))
}

/// A harness whose first maintenance wave is complete, with its history cleared.
fn maintained(planner: Planner) -> Harness {
    let mut harness = Harness::new(&harness::vitoria(), planner);
    harness.interval = Duration::from_secs(30);
    harness.run(Duration::from_hours(12));
    harness.interval = harness::STEP_INTERVAL;
    harness.history.clear();
    harness.violations.clear();
    harness
}

#[test]
fn the_loss_of_a_rack_is_repaired_with_one_move_per_host() {
    let mut harness = maintained(Planner::new());
    for host in names("vit-b", 1..=4) {
        harness.platform.fail(&host);
    }
    harness.run(Duration::from_mins(3));
    assert!(is_converged(&harness));
    assert_eq!(harness.violations, []);
    assert!(moves(&harness) <= 4, "{}", moves(&harness));
}

#[test]
fn the_loss_of_a_zone_is_repaired_by_highest_promise_first() {
    let mut harness = maintained(Planner::new());
    for host in names("vit-a", 1..=13) {
        harness.platform.fail(&host);
    }
    harness.run(Duration::from_mins(5));
    // Of 13 lost hosts, the spare pool replaces those of the highest promise first.
    assert!(harness.owned("council").len() >= 9);
    for host in names("vit-a", 1..=13) {
        harness.platform.repair(&host);
    }
    harness.run(Duration::from_hours(3));
    assert!(is_converged(&harness));
    assert_eq!(harness.violations, []);
}

#[test]
fn a_second_host_lost_right_after_a_repair_is_replaced() {
    let mut harness = maintained(Planner::new());
    harness.platform.fail("vit-c-02");
    harness.run(Duration::from_mins(2));
    harness.platform.repair("vit-c-02");
    harness.run(Duration::from_secs(5));
    harness.platform.fail("vit-c-03");
    harness.run(Duration::from_mins(3));
    assert!(is_converged(&harness));
    assert_eq!(harness.violations, []);
}

#[test]
fn a_flapping_host_is_not_moved_at_every_failure() {
    let mut harness = maintained(Planner::new());
    for _ in 0..20 {
        harness.platform.fail("vit-d-05");
        harness.run(Duration::from_secs(90));
        harness.platform.repair("vit-d-05");
        harness.run(Duration::from_secs(20));
    }
    assert!(moves(&harness) <= 2, "{}", moves(&harness));
    assert!(is_converged(&harness));
}

#[test]
fn a_worker_isolated_for_hours_is_never_in_two_pools() {
    let mut harness = maintained(Planner::new());
    harness.platform.isolate("vit-a-07", true);
    harness.run(Duration::from_hours(2));
    assert!(matches!(
        harness.control.hosts().get("vit-a-07").unwrap().ownership,
        Ownership::Released { .. }
    ));
    harness.platform.isolate("vit-a-07", false);
    harness.run(Duration::from_hours(1));
    assert_eq!(harness.violations, []);
    assert!(is_converged(&harness));
}

#[test]
fn a_new_leader_continues_from_the_durable_state() {
    let mut harness = Harness::new(&harness::vitoria(), Planner::new());
    harness.interval = Duration::from_secs(30);
    for minute in 0..240 {
        harness.run(Duration::from_mins(1));
        if minute % 3 == 0 {
            harness.control.fail_over();
        }
    }
    harness.run(Duration::from_hours(8));
    assert_eq!(harness.violations, []);
    let hosts = harness.control.hosts().iter();
    let unmaintained: Vec<_> = hosts
        .filter(|(_, record)| record.last_maintained.is_empty())
        .map(|(host, _)| host)
        .collect();
    assert_eq!(unmaintained, Vec::<&Arc<str>>::new());
}

#[test]
fn a_host_that_does_not_return_from_its_reboot_is_replaced() {
    let mut harness = Harness::new(&harness::vitoria(), Planner::new());
    harness.interval = Duration::from_secs(30);
    harness.platform.fail_next_reboot("vit-a-01");
    harness.run(Duration::from_hours(14));
    let record = harness.control.hosts().get("vit-a-01").unwrap();
    assert!(
        matches!(record.ownership, Ownership::Released { .. }),
        "{record:?}"
    );
    let others = harness
        .control
        .hosts()
        .iter()
        .filter(|(_, record)| !record.last_maintained.is_empty());
    assert_eq!(others.count(), 49);
    assert!(is_converged(&harness));
}

#[test]
fn maintenance_is_paused_until_a_failed_host_is_replaced() {
    let count_drains = |planner: Planner| {
        let mut harness = Harness::new(&ReleaseNote::from_toml(TWO_POOLS).unwrap(), planner);
        harness.run(Duration::from_secs(20));
        harness.platform.fail("a-1");
        harness.run(Duration::from_hours(2));
        let drains = |harness: &Harness| {
            harness.count(|planned| {
                let due = matches!(planned.reason, Reason::MaintenanceDue { .. });
                due && matches!(planned.action, Action::Drain { .. })
            })
        };
        let paused = drains(&harness);
        harness.platform.repair("a-1");
        harness.run(Duration::from_hours(2));
        (paused, drains(&harness))
    };
    let unguarded = Guards {
        pause_maintenance: false,
        ..Guards::default()
    };
    let (paused, resumed) = count_drains(Planner::new());
    assert!(paused <= 1 && resumed >= 2, "{paused} {resumed}");
    assert!(count_drains(Planner::new().guards(unguarded)).0 >= 2);
}

/// Two pools without spare hosts; the budget of the second allows a long shortage.
const TWO_POOLS: &str = r#"
number = 1
builds_on = 0

[added]
hosts = [
  { name = "a-1", region = "r", zone = "a", rack = "a1", cores = 32, memory_gb = 128 },
  { name = "a-2", region = "r", zone = "a", rack = "a2", cores = 32, memory_gb = 128 },
  { name = "a-3", region = "r", zone = "a", rack = "a3", cores = 32, memory_gb = 128 },
  { name = "a-4", region = "r", zone = "a", rack = "a4", cores = 32, memory_gb = 128 },
]
pools = [{ name = "first", hosts = 2 }, { name = "second", hosts = 2 }]
services = [
  { name = "one", pool = "first", executors = 2, promise = { availability = 0.999, window = "30days" } },
  { name = "two", pool = "second", executors = 2, promise = { availability = 0.9, window = "30days" } },
]
maintenance = [{ name = "weekly", period = "7days", batch = 1, expected_outage = "10min" }]
"#;

#[test]
fn counting_incoming_hosts_prevents_excess_moves() {
    let lent = |guards: Guards| {
        let mut harness = maintained(Planner::new().guards(guards));
        for host in names("vit-c", 1..=4) {
            harness.platform.fail(&host);
        }
        harness.run(Duration::from_mins(3));
        harness.count(|planned| matches!(planned.reason, Reason::PoolSurplus { .. }))
    };
    let unguarded = Guards {
        count_incoming: false,
        ..Guards::default()
    };
    assert!(lent(Guards::default()) <= 4);
    assert!(lent(unguarded) > 4);
}

#[test]
fn concurrent_programmes_share_one_zone_and_one_batch_limit() {
    let mut note = harness::vitoria();
    let six_weeks = note.added.maintenance[0].clone();
    note.added.maintenance.push(MaintenanceSpec {
        name: "firmware".into(),
        period: Duration::from_hours(24 * 90),
        ..six_weeks
    });
    let mut harness = Harness::new(&note, Planner::new());
    harness.interval = Duration::from_secs(30);
    let end = harness.now + Duration::from_hours(22);
    while harness.now < end {
        harness.step();
        let out: Vec<_> = harness
            .control
            .hosts()
            .iter()
            .filter(|(_, record)| {
                matches!(record.drain_reason, Some(Reason::MaintenanceDue { .. }))
            })
            .map(|(host, _)| host[..5].to_owned())
            .collect();
        assert!(out.len() <= 2, "{out:?}");
        assert!(out.iter().collect::<BTreeSet<_>>().len() <= 1, "{out:?}");
    }
    let mut hosts = harness.control.hosts().iter();
    assert!(hosts.all(|(_, record)| record.last_maintained.len() == 2));
    assert_eq!(harness.violations, []);
}

#[test]
fn duplicated_orders_do_not_change_plans() {
    let history = |duplicate_orders: bool| {
        let mut harness = Harness::new(&harness::vitoria(), Planner::new());
        harness.duplicate_orders = duplicate_orders;
        harness.run(Duration::from_hours(2));
        harness.platform.fail("vit-a-02");
        harness.run(Duration::from_hours(2));
        harness.history
    };
    assert_eq!(history(true), history(false));
}
