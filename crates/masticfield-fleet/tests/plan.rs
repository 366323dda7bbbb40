//! Decisions of the planner on the sample fleets.

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, HostHealth, Planned, Reason};
use masticfield_core::note::ReleaseNote;
use masticfield_fleet::sample::{self, SampleFleet};
use masticfield_fleet::view::HostRecord;
use masticfield_fleet::{plan, preview};
use rstest::rstest;

const VITORIA: &str = include_str!("../../../examples/vitoria.toml");
const VULPESCU: &str = include_str!("../../../examples/vulpescu.toml");

/// Applies plans until the fleet converges, with all hosts freshly maintained.
fn converged(mut fleet: SampleFleet) -> SampleFleet {
    for _ in 0..20 {
        let planned = plan(&fleet.view(), Duration::ZERO);
        for planned in &planned {
            fleet.hosts.apply(planned, Duration::ZERO);
            fleet.jobs.apply(planned, Duration::ZERO);
        }
        let owned: Vec<_> = fleet
            .hosts
            .iter()
            .map(|(name, record)| (Arc::clone(name), record.clone()))
            .collect();
        for (name, record) in owned {
            fleet
                .hosts
                .insert(name, record.with_maintenance("six-weeks", Duration::ZERO));
        }
        if planned.is_empty() {
            break;
        }
    }
    fleet
}

fn set_health(fleet: &mut SampleFleet, host: &str, health: HostHealth) {
    let report = fleet
        .observation
        .hosts
        .iter_mut()
        .find(|report| &*report.host == host);
    report.expect("the host is in the sample").health = health;
}

/// Descriptions of the planned actions.
fn actions(planned: &[Planned]) -> Vec<String> {
    let lines = planned
        .iter()
        .map(|planned| masticfield_fleet::plan::describe::action(&planned.action));
    lines.collect()
}

#[rstest]
#[case::small(sample::small())]
#[case::vitoria(SampleFleet::new(&ReleaseNote::from_toml(VITORIA).unwrap()))]
#[case::vulpescu(SampleFleet::new(&ReleaseNote::from_toml(VULPESCU).unwrap()))]
fn a_converged_fleet_gets_no_action(#[case] fleet: SampleFleet) {
    let fleet = converged(fleet);
    assert_eq!(plan(&fleet.view(), Duration::ZERO), []);
    let planned = preview(&fleet.config, &fleet.config, &fleet.hosts);
    assert_eq!((planned.steps.len(), planned.host_moves), (0, 0));
}

#[test]
fn pools_spread_over_availability_zones() {
    let fleet = converged(sample::small());
    let zones: Vec<_> = fleet
        .hosts
        .iter()
        .filter(|(_, record)| {
            record
                .ownership
                .pool()
                .is_some_and(|pool| &**pool == "counter")
        })
        .map(|(host, _)| host[..1].to_owned())
        .collect();
    assert_eq!(zones, ["a", "b"]);
}

#[test]
fn a_failed_host_is_replaced_and_released_only_after_its_leases_expire() {
    let mut fleet = converged(sample::small());
    set_health(&mut fleet, "a-1", HostHealth::Failed);
    let planned = plan(&fleet.view(), Duration::ZERO);
    assert_eq!(
        actions(&planned),
        ["drain host a-1", "give host b-2 to pool counter"]
    );
    for planned in &planned {
        fleet.hosts.apply(planned, Duration::ZERO);
        fleet.jobs.apply(planned, Duration::ZERO);
    }
    assert_eq!(plan(&fleet.view(), Duration::ZERO), []);
    fleet.observation.hosts[0].silent_for = Duration::from_mins(1);
    let planned = plan(&fleet.view(), Duration::from_mins(1));
    assert_eq!(actions(&planned), ["release host a-1"]);
    assert_eq!(planned[0].reason, Reason::LeasesEnded);
}

#[test]
fn a_host_that_recovers_before_its_release_rejoins_its_short_pool() {
    let mut fleet = converged(sample::small());
    for host in ["a-1", "b-2", "a-2"] {
        set_health(&mut fleet, host, HostHealth::Failed);
    }
    for planned in plan(&fleet.view(), Duration::ZERO) {
        fleet.hosts.apply(&planned, Duration::ZERO);
    }
    set_health(&mut fleet, "a-1", HostHealth::Healthy);
    let planned = plan(&fleet.view(), Duration::ZERO);
    assert_eq!(actions(&planned), ["resume host a-1"]);
}

#[test]
fn the_spare_pool_lends_to_a_pool_with_a_higher_promise() {
    let mut fleet = converged(SampleFleet::new(&ReleaseNote::from_toml(VITORIA).unwrap()));
    let counter = hosts_of(&fleet, "counter");
    for host in &counter[..4] {
        set_health(&mut fleet, host, HostHealth::Failed);
    }
    let planned = plan(&fleet.view(), Duration::ZERO);
    let lent = planned.iter().filter(|planned| matches!(&planned.reason, Reason::PoolSurplus { from, to } if (&**from, &**to) == ("support", "counter")));
    let owned = planned.iter().filter(
        |planned| matches!(&planned.action, Action::Own { pool, .. } if &**pool == "counter"),
    );
    // All free hosts were due for maintenance, so that the spare pool owns them.
    assert_eq!((owned.count(), lent.count()), (0, 4));
    for planned in &planned {
        fleet.hosts.apply(planned, Duration::ZERO);
        fleet.jobs.apply(planned, Duration::ZERO);
    }
    // No more hosts move. The tasks on the draining hosts are checkpointed, then nothing is left.
    let checkpoints = plan(&fleet.view(), Duration::ZERO);
    assert!(
        checkpoints
            .iter()
            .all(|planned| matches!(planned.action, Action::CheckpointTask { .. }))
    );
    for planned in &checkpoints {
        fleet.jobs.apply(planned, Duration::ZERO);
    }
    assert_eq!(plan(&fleet.view(), Duration::ZERO), []);
}

fn hosts_of(fleet: &SampleFleet, pool: &str) -> Vec<Arc<str>> {
    let owned = fleet.hosts.iter().filter(|(_, record)| {
        record
            .ownership
            .pool()
            .is_some_and(|owner| &**owner == pool)
    });
    owned.map(|(host, _)| Arc::clone(host)).collect()
}

#[test]
fn a_withdrawn_host_is_drained() {
    let mut fleet = converged(sample::small());
    fleet.hosts.insert("gone", HostRecord::owned("counter", 3));
    let planned = plan(&fleet.view(), Duration::ZERO);
    assert_eq!(actions(&planned), ["drain host gone"]);
    assert_eq!(planned[0].reason, Reason::HostWithdrawn);
}

#[test]
fn a_preview_names_uncovered_zone_losses_and_the_yielding_pools() {
    let fleet = converged(SampleFleet::new(&ReleaseNote::from_toml(VITORIA).unwrap()));
    let shortfalls = preview(&fleet.config, &fleet.config, &fleet.hosts).shortfalls;
    assert!(
        !shortfalls.iter().any(|line| line.contains("rack")),
        "{shortfalls:?}"
    );
    let zones = shortfalls
        .iter()
        .filter(|line| line.contains("availability zone"));
    assert!(zones.clone().count() > 0);
    assert!(
        zones
            .clone()
            .all(|line| line.contains("not covered; pool \"shelters\" (0.998) yields")),
        "{shortfalls:?}"
    );
}
