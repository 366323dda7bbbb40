//! Load shedding and shares of workspaces in overloads.

use masticfield_emulator::{Faults, Fleet, Report, Scenario, Simulation};
use rstest::rstest;

/// Number of seeds in CI; `MASTICFIELD_SEEDS` overrides it.
const SEEDS: u64 = 6;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("MASTICFIELD_SEEDS").ok();
    0..count.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn run(scenario: Scenario, seed: u64) -> Report {
    let report = Simulation::new(scenario, seed).run();
    let first: Vec<_> = report.violations.iter().take(5).collect();
    assert!(report.violations.is_empty(), "seed {seed}: {first:#?}");
    report
}

fn uneven() -> Faults {
    Faults {
        estimate_error: 0.5,
        long_runs: 0.03,
        ..Faults::default()
    }
}

/// Deployments that ask for nothing keep every decision: neither the option nor a configuration
/// with several priorities is sufficient alone.
#[rstest]
#[case::one_priority(Fleet::small(), false, true)]
#[case::no_option(Fleet::vitoria(), true, false)]
fn decisions_stay_the_same_where_load_shedding_is_not_asked_for(
    #[case] fleet: Fleet,
    #[case] several_priorities: bool,
    #[case] option: bool,
) {
    for seed in seeds() {
        let faults = Faults {
            leader_change_interval_ms: 3_000,
            lost_answers: 0.02,
            ..Faults::default()
        };
        let before = Scenario::new(fleet.clone()).load_ms(8_000).faults(faults);
        let mut after = before.clone().load_shedding(option);
        if several_priorities {
            // The pools are separate, so that the priorities of queues change no order.
            for (queue, priority) in after.fleet.queues.iter_mut().zip(0..) {
                queue.priority = priority;
            }
        }
        assert_eq!(run(before, seed), run(after, seed), "seed {seed}");
    }
}

/// Load shedding delays jobs and refuses some; none may be lost or started twice because of it.
#[rstest]
#[case::uneven(uneven(), 0)]
#[case::leader_changes(Faults { leader_change_interval_ms: 2_500, ..uneven() }, 0)]
#[case::workspaces(uneven(), 5)]
#[case::crashes(Faults { crash_interval_ms: 1_500, max_clock_drift: 0.02, ..uneven() }, 5)]
fn invariants_hold_while_load_is_shed(#[case] faults: Faults, #[case] workspaces: u32) {
    for seed in seeds() {
        let mut fleet = Fleet::small();
        fleet.queues[1].priority = 1;
        let scenario = Scenario::new(fleet).load_ms(8_000).faults(faults).retries();
        let scenario = scenario
            .load_shedding(true)
            .sharing_workspaces(workspaces, 4.0);
        let report = run(scenario, seed);
        assert!(report.on_time > 0, "seed {seed}: {report:?}");
    }
}

/// Returns the part of the jobs on time of all workspaces but the first, over the seeds.
fn service_of_others(greed: f64, load_shedding: bool) -> f64 {
    let (mut submitted, mut on_time) = (0, 0);
    for seed in seeds() {
        let scenario = Scenario::new(Fleet::small())
            .jobs_per_s(1.6)
            .load_ms(8_000)
            .retries()
            .load_shedding(load_shedding)
            .sharing_workspaces(8, greed);
        let report = run(scenario, seed);
        for (all, in_time) in &report.shares.workspaces[1..] {
            submitted += all;
            on_time += in_time;
        }
    }
    f64::from(on_time) / f64::from(submitted)
}

/// What a workspace sends beyond its rate must not delay the jobs of those that keep to theirs.
#[test]
fn small_workspaces_keep_their_service_beside_one_that_sends_eight_times_its_load() {
    let (usual, beside) = (service_of_others(1.0, true), service_of_others(8.0, true));
    let without = service_of_others(8.0, false);
    println!(
        "on time: {usual:.3} usually, {beside:.3} beside a large one, {without:.3} without shares"
    );
    assert!(beside >= 0.9 * usual, "{beside:.3} of {usual:.3}");
    assert!(beside > without, "{beside:.3}, {without:.3} without shares");
}
