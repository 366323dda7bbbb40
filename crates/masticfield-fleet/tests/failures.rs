//! One test for each kind of failure that concerns the fleet.

mod rig;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Ownership, Reason};
use masticfield_core::note::{MaintenanceSpec, ReleaseNote};
use masticfield_fleet::Planner;
use masticfield_fleet::plan::Guards;
use rig::Rig;

fn names(prefix: &str, numbers: impl Iterator<Item = u32>) -> Vec<String> {
    numbers
        .map(|number| format!("{prefix}-{number:02}"))
        .collect()
}

fn is_settled(rig: &Rig) -> bool {
    let pools = rig.control.config().pools().values();
    pools
        .filter(|pool| !pool.spare)
        .all(|pool| rig.owned(&pool.name).len() >= pool.hosts as usize)
}

fn moves(rig: &Rig) -> usize {
    rig.count(|planned| matches!(planned.action, Action::Own { generation, .. } if generation.number() > 1))
}

/// A rig whose first maintenance wave is over.
fn maintained(planner: Planner) -> Rig {
    let mut rig = Rig::new(&rig::vitoria(), planner);
    rig.pace = Duration::from_secs(30);
    rig.run(Duration::from_hours(12));
    rig.pace = rig::STEP;
    rig.history.clear();
    rig.violations.clear();
    rig
}

#[test]
fn failures_come_together_in_a_wave_a_rack_is_lost() {
    let mut rig = maintained(Planner::new());
    for host in names("vit-b", 1..=4) {
        rig.platform.fail(&host);
    }
    rig.run(Duration::from_mins(3));
    assert!(is_settled(&rig));
    assert_eq!(rig.violations, []);
    assert!(moves(&rig) <= 4, "{}", moves(&rig));
}

#[test]
fn failures_come_together_in_a_wave_a_zone_is_lost() {
    let mut rig = maintained(Planner::new());
    for host in names("vit-a", 1..=13) {
        rig.platform.fail(&host);
    }
    rig.run(Duration::from_mins(5));
    // 13 hosts are lost; whatever the spare pool can lend goes to the highest promise first.
    assert!(rig.owned("council").len() >= 9);
    for host in names("vit-a", 1..=13) {
        rig.platform.repair(&host);
    }
    rig.run(Duration::from_hours(3));
    assert!(is_settled(&rig));
    assert_eq!(rig.violations, []);
}

#[test]
fn a_second_host_is_lost_right_after_a_repair() {
    let mut rig = maintained(Planner::new());
    rig.platform.fail("vit-c-02");
    rig.run(Duration::from_mins(2));
    rig.platform.repair("vit-c-02");
    rig.run(Duration::from_secs(5));
    rig.platform.fail("vit-c-03");
    rig.run(Duration::from_mins(3));
    assert!(is_settled(&rig));
    assert_eq!(rig.violations, []);
}

#[test]
fn a_flapping_host_is_moved_once_and_not_each_time() {
    let mut rig = maintained(Planner::new());
    for _ in 0..20 {
        rig.platform.fail("vit-d-05");
        rig.run(Duration::from_secs(90));
        rig.platform.repair("vit-d-05");
        rig.run(Duration::from_secs(20));
    }
    assert!(moves(&rig) <= 2, "{}", moves(&rig));
    assert!(is_settled(&rig));
}

#[test]
fn a_worker_is_isolated_for_a_long_time_and_is_never_in_two_pools() {
    let mut rig = maintained(Planner::new());
    rig.platform.isolate("vit-a-07", true);
    rig.run(Duration::from_hours(2));
    assert!(matches!(
        rig.control.hosts().get("vit-a-07").unwrap().ownership,
        Ownership::Released { .. }
    ));
    rig.platform.isolate("vit-a-07", false);
    rig.run(Duration::from_hours(1));
    assert_eq!(rig.violations, []);
    assert!(is_settled(&rig));
}

#[test]
fn a_new_leader_goes_on_from_the_durable_state_at_any_moment() {
    let mut rig = Rig::new(&rig::vitoria(), Planner::new());
    rig.pace = Duration::from_secs(30);
    for round in 0..240 {
        rig.run(Duration::from_mins(1));
        if round % 3 == 0 {
            rig.control.fail_over();
        }
    }
    rig.run(Duration::from_hours(8));
    assert_eq!(rig.violations, []);
    let hosts = rig.control.hosts().iter();
    let unmaintained: Vec<_> = hosts
        .filter(|(_, record)| record.last_maintained.is_empty())
        .map(|(host, _)| host)
        .collect();
    assert_eq!(unmaintained, Vec::<&Arc<str>>::new());
}

#[test]
fn a_host_that_does_not_come_back_from_its_reboot_is_replaced() {
    let mut rig = Rig::new(&rig::vitoria(), Planner::new());
    rig.pace = Duration::from_secs(30);
    rig.platform.stay_away_after_reboot("vit-a-01");
    rig.run(Duration::from_hours(14));
    let record = rig.control.hosts().get("vit-a-01").unwrap();
    assert!(
        matches!(record.ownership, Ownership::Released { .. }),
        "{record:?}"
    );
    let others = rig
        .control
        .hosts()
        .iter()
        .filter(|(_, record)| !record.last_maintained.is_empty());
    assert_eq!(others.count(), 49);
    assert!(is_settled(&rig));
}

#[test]
fn maintenance_is_paused_while_a_failure_is_not_made_up_for() {
    let waves = |planner: Planner| {
        let mut rig = Rig::new(&ReleaseNote::from_toml(TWO_POOLS).unwrap(), planner);
        rig.run(Duration::from_secs(20));
        rig.platform.fail("a-1");
        rig.run(Duration::from_hours(2));
        let drains = |rig: &Rig| {
            rig.count(|planned| {
                let due = matches!(planned.reason, Reason::MaintenanceDue { .. });
                due && matches!(planned.action, Action::Drain { .. })
            })
        };
        let paused = drains(&rig);
        rig.platform.repair("a-1");
        rig.run(Duration::from_hours(2));
        (paused, drains(&rig))
    };
    let unguarded = Guards {
        pause_maintenance: false,
        ..Guards::default()
    };
    let (paused, resumed) = waves(Planner::new());
    assert!(paused <= 1 && resumed >= 2, "{paused} {resumed}");
    assert!(waves(Planner::new().guards(unguarded)).0 >= 2);
}

/// Two pools without a spare host; the second may be short for long.
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
fn hosts_on_their_way_count_so_that_no_more_are_moved_than_needed() {
    let lent = |guards: Guards| {
        let mut rig = maintained(Planner::new().guards(guards));
        for host in names("vit-c", 1..=4) {
            rig.platform.fail(&host);
        }
        rig.run(Duration::from_mins(3));
        rig.count(|planned| matches!(planned.reason, Reason::PoolSurplus { .. }))
    };
    let unguarded = Guards {
        count_incoming: false,
        ..Guards::default()
    };
    assert!(lent(Guards::default()) <= 4);
    assert!(lent(unguarded) > 4);
}

#[test]
fn several_waves_race_within_one_zone_and_their_batches() {
    let mut note = rig::vitoria();
    let six_weeks = note.added.maintenance[0].clone();
    note.added.maintenance.push(MaintenanceSpec {
        name: "firmware".into(),
        period: Duration::from_hours(24 * 90),
        ..six_weeks
    });
    let mut rig = Rig::new(&note, Planner::new());
    rig.pace = Duration::from_secs(30);
    let end = rig.now + Duration::from_hours(22);
    while rig.now < end {
        rig.step();
        let out: Vec<_> = rig
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
    let mut hosts = rig.control.hosts().iter();
    assert!(hosts.all(|(_, record)| record.last_maintained.len() == 2));
    assert_eq!(rig.violations, []);
}

#[test]
fn reports_in_any_order_and_orders_carried_out_twice_change_nothing() {
    let play = |twice: bool| {
        let mut rig = Rig::new(&rig::vitoria(), Planner::new());
        rig.twice = twice;
        rig.run(Duration::from_hours(2));
        rig.platform.fail("vit-a-02");
        rig.run(Duration::from_hours(2));
        rig.history
    };
    assert_eq!(play(true), play(false));
}
