//! What must hold on every day, whatever goes wrong.

use masticfield_emulator::{Faults, Fleet, Report, Scenario, Simulation};
use masticfield_jobs::leader::Defect;
use rstest::rstest;

/// Seeds that CI plays; more are played by hand with `MASTICFIELD_SEEDS`.
const SEEDS: u64 = 12;

/// Seeds on one of which a guard that is left out has to be noticed.
const GUARD_SEEDS: u64 = 60;

fn seeds() -> std::ops::Range<u64> {
    let set = std::env::var("MASTICFIELD_SEEDS").ok();
    0..set.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS)
}

fn play(faults: Faults, seed: u64) -> Report {
    let day = Scenario::new(Fleet::small()).load_ms(15_000).faults(faults);
    Simulation::new(day, seed).run()
}

fn play_upkeep(faults: Faults, seed: u64) -> Report {
    let day = Scenario::new(Fleet::small()).load_ms(15_000).upkeep();
    Simulation::new(day.faults(faults), seed).run()
}

fn calm() -> Faults {
    Faults::default()
}

fn late() -> Faults {
    Faults {
        delayed_orders: 0.3,
        lost_answers: 0.05,
        ..calm()
    }
}

fn crashes() -> Faults {
    Faults {
        crash_interval_ms: 1_500,
        partition_interval_ms: 1_500,
        max_clock_drift: 0.02,
        ..calm()
    }
}

fn leaders() -> Faults {
    Faults {
        leader_change_interval_ms: 2_500,
        lost_answers: 0.03,
        ..calm()
    }
}

fn failing() -> Faults {
    Faults {
        failing_runs: 0.15,
        cancelled_jobs: 0.3,
        ..calm()
    }
}

fn all() -> Faults {
    Faults {
        delayed_orders: 0.1,
        lost_answers: 0.05,
        crash_interval_ms: 3_000,
        leader_change_interval_ms: 4_000,
        partition_interval_ms: 3_000,
        failing_runs: 0.05,
        cancelled_jobs: 0.1,
        max_clock_drift: 0.02,
        ..calm()
    }
}

/// Executors that are up and fail all that they start: they always have room.
fn failing_executors() -> Faults {
    Faults {
        failing_executors: 0.2,
        failing_runs: 0.005,
        ..calm()
    }
}

/// A failing executor must not draw in one job after the other: without a track record of
/// executors, each task is tried there until its attempts are used up.
#[test]
fn failing_executors_cost_few_jobs() {
    let (mut asked, mut failed) = (0, 0);
    for seed in seeds() {
        let report = play(failing_executors(), seed);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        asked += report.submitted;
        failed += report.failed;
    }
    assert!(
        failed * 100 <= asked,
        "{failed} of {asked} jobs have failed"
    );
}

/// Executors that are up and hold up what they run, by a factor.
fn slow_executors(factor: u32) -> Faults {
    Faults {
        slow_executors: 0.2,
        slowdown: factor,
        ..calm()
    }
}

/// Work on a slow executor must go on elsewhere: a job waits for its slowest task, so that without
/// it the jobs that have a task there are late, or of no use.
#[rstest]
#[case::tasks_stand_still(1_000)]
#[case::tasks_take_eight_times_as_long(8)]
fn slow_executors_make_few_jobs_late(#[case] factor: u32) {
    let (mut calm_on_time, mut on_time, mut too_late) = (0, 0, 0);
    for seed in seeds() {
        let day = Scenario::new(Fleet::small())
            .load_ms(15_000)
            .jobs_per_s(1.5);
        calm_on_time += Simulation::new(day.clone(), seed).run().on_time;
        let report = Simulation::new(day.faults(slow_executors(factor)), seed).run();
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:#?}",
            report.violations
        );
        on_time += report.on_time;
        too_late += report.too_late;
    }
    let figures = format!("calm {calm_on_time}, on time {on_time}, of no use {too_late}");
    assert!(on_time * 100 >= calm_on_time * 95, "{figures}");
    assert!(too_late * 100 <= calm_on_time, "{figures}");
}

#[rstest]
#[case::calm(calm())]
#[case::late_orders(late())]
#[case::crashes_and_cuts(crashes())]
#[case::changes_of_the_leader(leaders())]
#[case::failures_and_cancels(failing())]
#[case::everything(all())]
fn nothing_is_broken(#[case] faults: Faults) {
    for seed in seeds() {
        let report = play(faults, seed);
        let first: Vec<_> = report.violations.iter().take(5).collect();
        assert!(report.violations.is_empty(), "seed {seed}: {first:#?}");
        assert!(report.submitted > 0, "seed {seed}");
    }
}

/// Hosts crash and come back while their upkeep is due: an order that the platform has refused must
/// not be repeated on a host that has tasks again.
#[rstest]
#[case::calm(calm())]
#[case::crashes_and_cuts(crashes())]
#[case::lost_answers(late())]
fn upkeep_leaves_enough_lasting_tasks(#[case] faults: Faults) {
    for seed in seeds() {
        let report = play_upkeep(faults, seed);
        let first: Vec<_> = report.violations.iter().take(5).collect();
        assert!(report.violations.is_empty(), "seed {seed}: {first:#?}");
    }
}

/// Load: a surge on a fleet of 350 hosts. A replica with a third of a core cannot look at an
/// executor after each end; ends are gathered instead, and jobs are as much on time.
#[test]
fn hundreds_of_busy_executors_are_asked_for_several_ends_at_once() {
    let fleet = Fleet::vitoria().scaled(7);
    let day = Scenario::new(fleet).load_ms(8_000);
    let report = Simulation::new(day, 1).run();
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
    assert!(report.starts > 10_000, "{report:?}");
    assert!(report.polls * 3 < report.starts * 2, "{report:?}");
}

/// Load: a wave in a hurry, while the leader changes again and again. Each leader has to count the
/// hosts that former ones have taken.
#[test]
fn a_wave_in_a_hurry_keeps_its_cap_over_changes_of_the_leader() {
    for seed in seeds() {
        let day = Scenario::new(Fleet::small())
            .load_ms(15_000)
            .upkeep_within(5_000);
        let report = Simulation::new(day.faults(leaders()), seed).run();
        let first: Vec<_> = report.violations.iter().take(5).collect();
        assert!(report.violations.is_empty(), "seed {seed}: {first:#?}");
    }
}

/// Each guard that is left out is noticed on one of the seeds.
#[rstest]
#[case::room(Defect::PlaceWithoutCapacity, calm(), 0)]
#[case::single_run(Defect::UnansweredNeverRan, late(), 0)]
#[case::order(Defect::StepsInAnyOrder, calm(), 0)]
#[case::leases(Defect::LapseAtOnce, crashes(), 0)]
#[case::availability(Defect::RepeatRefused, crashes(), 250)]
#[case::turns(Defect::HandoverAtOnce, leaders(), 0)]
fn a_guard_that_is_left_out_is_noticed(
    #[case] defect: Defect,
    #[case] faults: Faults,
    #[case] first: u64,
) {
    let broken = (first..first + GUARD_SEEDS).find(|seed| {
        let day = Scenario::new(Fleet::small()).load_ms(15_000).upkeep();
        let day = day.faults(faults).defect(defect);
        !Simulation::new(day, *seed).run().violations.is_empty()
    });
    assert!(broken.is_some(), "seed {broken:?}");
}

#[test]
fn the_same_seed_gives_the_same_day() {
    assert_eq!(play(all(), 3), play(all(), 3));
}
