//! Placement of jobs: one test for each kind of failure that concerns them.

mod rig;

use std::sync::Arc;
use std::time::Duration;

use masticfield_core::fleet::{Action, Reason};
use masticfield_core::note::{JobPriority, JobSpec, ReleaseNote, Resources};
use masticfield_fake::platform::JobTruth;
use masticfield_fleet::Planner;
use masticfield_fleet::plan::Guards;
use rig::{Rig, Violation};
use rstest::rstest;

const SMALL: Resources = Resources::new(4_000, 8_192, 0);

fn job(name: &str, tasks: u32, size: Resources, priority: JobPriority) -> JobSpec {
    JobSpec {
        name: name.into(),
        pool: "counter".into(),
        team: "campaigns".into(),
        size,
        tasks,
        run_time: Some(Duration::from_mins(10)),
        priority,
    }
}

/// Vitoria without its own jobs and maintenance, but with these jobs on the counter pool.
fn rig(jobs: Vec<JobSpec>, guards: Guards) -> Rig {
    let mut note = rig::vitoria();
    note.added.maintenance.clear();
    note.added.jobs = jobs;
    Rig::new(&note, Planner::new().guards(guards))
}

fn truth(usage: Resources, minutes: u64) -> JobTruth {
    JobTruth {
        usage,
        run_time: Some(Duration::from_mins(minutes)),
        fails: false,
    }
}

fn finished(rig: &Rig, job: &str) -> usize {
    let tasks = rig.platform.reports(0).tasks;
    let done = tasks
        .iter()
        .filter(|it| &*it.job == job && it.phase == masticfield_core::fleet::TaskPhase::Finished);
    done.count()
}

fn started(rig: &Rig, job: &str) -> usize {
    rig.count(|it| matches!(&it.action, Action::StartTask { job: name, .. } if &**name == job))
}

#[test]
fn every_task_runs_once_where_it_fits() {
    let mut rig = rig(
        vec![job("nightly", 40, SMALL, JobPriority::Batch)],
        Guards::default(),
    );
    rig.platform.set_truth("nightly", truth(SMALL, 10));
    rig.run(Duration::from_hours(1));
    assert_eq!(
        (finished(&rig, "nightly"), started(&rig, "nightly")),
        (40, 40)
    );
    assert_eq!(rig.violations, []);
}

#[test]
fn a_job_that_can_never_run_is_reported_and_not_retried() {
    let huge = Resources::new(64_000, 8_192, 0);
    let mut rig = rig(
        vec![job("huge", 2, huge, JobPriority::Normal)],
        Guards::default(),
    );
    rig.run(Duration::from_mins(10));
    assert_eq!(started(&rig, "huge"), 0);
    assert_eq!(
        rig.count(|it| matches!(it.reason, Reason::NeverFits { .. })),
        1
    );
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_and_its_tasks_run_elsewhere() {
    let jobs = (0..8).map(|it| job(&format!("job-{it}"), 12, SMALL, JobPriority::Normal));
    let mut rig = rig(Vec::new(), Guards::default());
    rig.run(Duration::from_secs(30));
    let bad = rig.owned("counter");
    rig.platform.fail_everything(&bad[0], true);
    for it in 0..8 {
        rig.platform.set_truth(format!("job-{it}"), truth(SMALL, 2));
    }
    let mut note = ReleaseNote {
        number: 2,
        builds_on: 1,
        ..ReleaseNote::default()
    };
    note.added.jobs = jobs.collect();
    rig.control
        .set_config(rig.control.config().apply(&note).unwrap());
    rig.run(Duration::from_hours(1));
    let quarantined =
        rig.count(|it| matches!(&it.action, Action::Quarantine { host, .. } if *host == bad[0]));
    let stopped = rig.count(|it| matches!(it.action, Action::StopJob { .. }));
    let done: usize = (0..8).map(|it| finished(&rig, &format!("job-{it}"))).sum();
    assert!(quarantined >= 1);
    assert_eq!((stopped, done), (0, 96));
}

#[test]
fn a_job_that_fails_everywhere_is_stopped_and_no_worker_is_blamed() {
    let jobs = vec![
        job("broken", 6, SMALL, JobPriority::Normal),
        job("sound", 6, SMALL, JobPriority::Normal),
    ];
    let mut rig = rig(jobs, Guards::default());
    rig.platform.set_truth(
        "broken",
        JobTruth {
            fails: true,
            ..truth(SMALL, 10)
        },
    );
    rig.platform.set_truth("sound", truth(SMALL, 10));
    rig.run(Duration::from_hours(1));
    assert_eq!(
        rig.count(|it| matches!(it.reason, Reason::FailsEverywhere { .. })),
        1
    );
    assert_eq!(
        rig.count(|it| matches!(it.action, Action::Quarantine { .. })),
        0
    );
    assert!(started(&rig, "broken") < 24, "{}", started(&rig, "broken"));
    assert_eq!(finished(&rig, "sound"), 6);
}

#[test]
fn cancellations_arrive_in_a_wave_and_are_batched() {
    let jobs: Vec<_> = (0..10)
        .map(|it| {
            job(
                &format!("job-{it}"),
                8,
                Resources::new(1_000, 1_024, 0),
                JobPriority::Batch,
            )
        })
        .collect();
    let mut rig = rig(jobs, Guards::default());
    rig.run(Duration::from_mins(2));
    let note = ReleaseNote {
        number: 2,
        builds_on: 1,
        withdrawn: masticfield_core::note::Withdrawn {
            jobs: (0..10).map(|it| Arc::from(format!("job-{it}"))).collect(),
            ..Default::default()
        },
        ..ReleaseNote::default()
    };
    rig.control
        .set_config(rig.control.config().apply(&note).unwrap());
    let mut stops = Vec::new();
    for _ in 0..12 {
        let planned = rig.step();
        stops.push(
            planned
                .iter()
                .filter(|it| matches!(it.action, Action::StopTask { .. }))
                .count(),
        );
    }
    assert!(stops.iter().all(|it| *it <= 32), "{stops:?}");
    assert_eq!(stops.iter().sum::<usize>(), 80);
    assert_eq!(rig.step(), []);
}

#[test]
fn declared_sizes_are_far_from_the_truth_and_full_hosts_are_relieved() {
    let declared = Resources::new(1_000, 4_096, 0);
    let real = Resources::new(2_000, 24_576, 0);
    let mut rig = rig(
        vec![job("grows", 60, declared, JobPriority::Batch)],
        Guards::default(),
    );
    rig.platform.set_truth("grows", truth(real, 20));
    rig.run(Duration::from_mins(4));
    assert!(rig.count(|it| it.reason == Reason::Overcommitted) > 0);
    rig.run(Duration::from_hours(6));
    assert_eq!(finished(&rig, "grows"), 60);
    assert_eq!(rig.platform.overcommitted(), 0);
}

#[test]
fn urgent_work_displaces_lower_work_and_the_nightly_work_still_ends() {
    let third = Resources::new(10_000, 40_000, 0);
    let mut notices = job("notices", 4, third, JobPriority::Urgent);
    notices.team = "notices".into();
    let mut rig = rig(
        vec![job("nightly", 40, third, JobPriority::Batch)],
        Guards::default(),
    );
    rig.platform.set_truth("nightly", truth(third, 30));
    rig.platform.set_truth("notices", truth(third, 5));
    rig.run(Duration::from_mins(5));
    let mut note = ReleaseNote {
        number: 2,
        builds_on: 1,
        ..ReleaseNote::default()
    };
    note.added.jobs.push(notices);
    rig.control
        .set_config(rig.control.config().apply(&note).unwrap());
    rig.run(Duration::from_mins(2));
    assert_eq!(started(&rig, "notices"), 4);
    assert!(rig.count(|it| matches!(it.reason, Reason::Displaced { .. })) <= 4);
    rig.run(Duration::from_hours(4));
    assert_eq!(
        (finished(&rig, "notices"), finished(&rig, "nightly")),
        (4, 40)
    );
    assert_eq!(rig.violations, []);
}

#[test]
fn the_quota_of_a_team_holds() {
    let mut jobs = vec![job("many", 200, SMALL, JobPriority::Normal)];
    jobs[0].team = "support".into();
    let mut rig = rig(jobs, Guards::default());
    rig.platform.set_truth("many", truth(SMALL, 10));
    rig.run(Duration::from_mins(2));
    // The team "support" has 100 cores, and each task holds 4.
    assert_eq!(started(&rig, "many"), 25);
}

#[rstest]
#[case::all_guards(Guards::default(), None)]
#[case::task_lease(Guards { task_lease: false, ..Guards::default() }, Some(Violation::DoubledTask))]
#[case::fit(Guards { fit: false, ..Guards::default() }, Some(Violation::DoesNotFit))]
fn a_task_never_runs_twice_at_once_nor_where_it_does_not_fit(
    #[case] guards: Guards,
    #[case] expected: Option<Violation>,
) {
    let third = Resources::new(10_000, 40_000, 0);
    let mut rig = rig(vec![job("nightly", 60, third, JobPriority::Batch)], guards);
    rig.platform.set_truth("nightly", truth(third, 30));
    rig.run(Duration::from_mins(2));
    for host in rig.owned("counter").iter().take(5) {
        rig.platform.isolate(host, true);
    }
    rig.run(Duration::from_mins(5));
    match expected {
        None => assert_eq!(rig.violations, []),
        Some(expected) => assert!(rig.violations.contains(&expected), "{:?}", rig.violations),
    }
}
