//! Placement of jobs under load and failures.

mod harness;

use std::sync::Arc;
use std::time::Duration;

use harness::{Harness, Violation};
use masticfield_core::fleet::{Action, Reason};
use masticfield_core::note::{JobPriority, JobSpec, ReleaseNote, Resources};
use masticfield_fake::platform::JobProfile;
use masticfield_fleet::Planner;
use masticfield_fleet::plan::Guards;
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

/// The Vitoria fleet without maintenance, and with the given jobs instead of its own.
fn harness_with_jobs(jobs: Vec<JobSpec>, guards: Guards) -> Harness {
    let mut note = harness::vitoria();
    note.added.maintenance.clear();
    note.added.jobs = jobs;
    Harness::new(&note, Planner::new().guards(guards))
}

fn profile(usage: Resources, minutes: u64) -> JobProfile {
    JobProfile {
        usage,
        run_time: Some(Duration::from_mins(minutes)),
        fails: false,
    }
}

fn finished(harness: &Harness, job: &str) -> usize {
    let tasks = harness.platform.reports(0).tasks;
    let done = tasks.iter().filter(|task| {
        &*task.job == job && task.phase == masticfield_core::fleet::TaskPhase::Finished
    });
    done.count()
}

fn started(harness: &Harness, job: &str) -> usize {
    harness.count(
        |planned| matches!(&planned.action, Action::StartTask { job: name, .. } if &**name == job),
    )
}

#[test]
fn every_task_runs_once_where_it_fits() {
    let mut harness = harness_with_jobs(
        vec![job("nightly", 40, SMALL, JobPriority::Batch)],
        Guards::default(),
    );
    harness
        .platform
        .set_job_profile("nightly", profile(SMALL, 10));
    harness.run(Duration::from_hours(1));
    assert_eq!(
        (finished(&harness, "nightly"), started(&harness, "nightly")),
        (40, 40)
    );
    assert_eq!(harness.violations, []);
}

#[test]
fn a_job_that_can_never_run_is_reported_and_not_retried() {
    let huge = Resources::new(64_000, 8_192, 0);
    let mut harness = harness_with_jobs(
        vec![job("huge", 2, huge, JobPriority::Normal)],
        Guards::default(),
    );
    harness.run(Duration::from_mins(10));
    assert_eq!(started(&harness, "huge"), 0);
    assert_eq!(
        harness.count(|planned| matches!(planned.reason, Reason::NeverFits { .. })),
        1
    );
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_and_its_tasks_run_elsewhere() {
    let jobs = (0..8).map(|number| job(&format!("job-{number}"), 12, SMALL, JobPriority::Normal));
    let mut harness = harness_with_jobs(Vec::new(), Guards::default());
    harness.run(Duration::from_secs(30));
    let owned = harness.owned("counter");
    harness.platform.fail_all_tasks(&owned[0], true);
    for number in 0..8 {
        harness
            .platform
            .set_job_profile(format!("job-{number}"), profile(SMALL, 2));
    }
    let mut note = ReleaseNote {
        number: 2,
        builds_on: 1,
        ..ReleaseNote::default()
    };
    note.added.jobs = jobs.collect();
    harness
        .control
        .set_config(harness.control.config().apply(&note).unwrap());
    harness.run(Duration::from_hours(1));
    let quarantined = harness.count(
        |planned| matches!(&planned.action, Action::Quarantine { host, .. } if *host == owned[0]),
    );
    let stopped = harness.count(|planned| matches!(planned.action, Action::StopJob { .. }));
    let done: usize = (0..8)
        .map(|number| finished(&harness, &format!("job-{number}")))
        .sum();
    assert!(quarantined >= 1);
    assert_eq!((stopped, done), (0, 96));
}

#[test]
fn a_job_that_fails_everywhere_is_stopped_and_no_worker_is_quarantined() {
    let jobs = vec![
        job("broken", 6, SMALL, JobPriority::Normal),
        job("valid", 6, SMALL, JobPriority::Normal),
    ];
    let mut harness = harness_with_jobs(jobs, Guards::default());
    harness.platform.set_job_profile(
        "broken",
        JobProfile {
            fails: true,
            ..profile(SMALL, 10)
        },
    );
    harness
        .platform
        .set_job_profile("valid", profile(SMALL, 10));
    harness.run(Duration::from_hours(1));
    assert_eq!(
        harness.count(|planned| matches!(planned.reason, Reason::FailsEverywhere { .. })),
        1
    );
    assert_eq!(
        harness.count(|planned| matches!(planned.action, Action::Quarantine { .. })),
        0
    );
    assert!(
        started(&harness, "broken") < 24,
        "{}",
        started(&harness, "broken")
    );
    assert_eq!(finished(&harness, "valid"), 6);
}

#[test]
fn mass_cancellations_are_batched() {
    let jobs: Vec<_> = (0..10)
        .map(|number| {
            job(
                &format!("job-{number}"),
                8,
                Resources::new(1_000, 1_024, 0),
                JobPriority::Batch,
            )
        })
        .collect();
    let mut harness = harness_with_jobs(jobs, Guards::default());
    harness.run(Duration::from_mins(2));
    let note = ReleaseNote {
        number: 2,
        builds_on: 1,
        withdrawn: masticfield_core::note::Withdrawn {
            jobs: (0..10)
                .map(|number| Arc::from(format!("job-{number}")))
                .collect(),
            ..Default::default()
        },
        ..ReleaseNote::default()
    };
    harness
        .control
        .set_config(harness.control.config().apply(&note).unwrap());
    let mut stops = Vec::new();
    for _ in 0..12 {
        let planned = harness.step();
        stops.push(
            planned
                .iter()
                .filter(|planned| matches!(planned.action, Action::StopTask { .. }))
                .count(),
        );
    }
    assert!(stops.iter().all(|count| *count <= 32), "{stops:?}");
    assert_eq!(stops.iter().sum::<usize>(), 80);
    assert_eq!(harness.step(), []);
}

#[test]
fn wrong_declared_sizes_are_corrected_and_overcommitted_hosts_relieved() {
    let declared = Resources::new(1_000, 4_096, 0);
    let actual = Resources::new(2_000, 24_576, 0);
    let mut harness = harness_with_jobs(
        vec![job("grows", 60, declared, JobPriority::Batch)],
        Guards::default(),
    );
    harness
        .platform
        .set_job_profile("grows", profile(actual, 20));
    harness.run(Duration::from_mins(4));
    assert!(harness.count(|planned| planned.reason == Reason::Overcommitted) > 0);
    harness.run(Duration::from_hours(6));
    assert_eq!(finished(&harness, "grows"), 60);
    assert_eq!(harness.platform.overcommitted_hosts(), 0);
}

#[test]
fn urgent_tasks_preempt_batch_tasks_which_still_finish() {
    let third = Resources::new(10_000, 40_000, 0);
    let mut notices = job("notices", 4, third, JobPriority::Urgent);
    notices.team = "notices".into();
    let mut harness = harness_with_jobs(
        vec![job("nightly", 40, third, JobPriority::Batch)],
        Guards::default(),
    );
    harness
        .platform
        .set_job_profile("nightly", profile(third, 30));
    harness
        .platform
        .set_job_profile("notices", profile(third, 5));
    harness.run(Duration::from_mins(5));
    let mut note = ReleaseNote {
        number: 2,
        builds_on: 1,
        ..ReleaseNote::default()
    };
    note.added.jobs.push(notices);
    harness
        .control
        .set_config(harness.control.config().apply(&note).unwrap());
    harness.run(Duration::from_mins(2));
    assert_eq!(started(&harness, "notices"), 4);
    assert!(harness.count(|planned| matches!(planned.reason, Reason::Displaced { .. })) <= 4);
    harness.run(Duration::from_hours(4));
    assert_eq!(
        (finished(&harness, "notices"), finished(&harness, "nightly")),
        (4, 40)
    );
    assert_eq!(harness.violations, []);
}

#[test]
fn the_quota_of_a_team_is_enforced() {
    let mut jobs = vec![job("many", 200, SMALL, JobPriority::Normal)];
    jobs[0].team = "support".into();
    let mut harness = harness_with_jobs(jobs, Guards::default());
    harness.platform.set_job_profile("many", profile(SMALL, 10));
    harness.run(Duration::from_mins(2));
    // The team "support" has a quota of 100 cores, and each task holds 4.
    assert_eq!(started(&harness, "many"), 25);
}

#[rstest]
#[case::all_guards(Guards::default(), None)]
#[case::task_lease(Guards { task_lease: false, ..Guards::default() }, Some(Violation::DoubledTask))]
#[case::fit(Guards { fit: false, ..Guards::default() }, Some(Violation::DoesNotFit))]
fn a_task_never_runs_twice_at_once_or_beyond_the_capacity_of_its_host(
    #[case] guards: Guards,
    #[case] expected: Option<Violation>,
) {
    let third = Resources::new(10_000, 40_000, 0);
    let mut harness =
        harness_with_jobs(vec![job("nightly", 60, third, JobPriority::Batch)], guards);
    harness
        .platform
        .set_job_profile("nightly", profile(third, 30));
    harness.run(Duration::from_mins(2));
    for host in harness.owned("counter").iter().take(5) {
        harness.platform.isolate(host, true);
    }
    harness.run(Duration::from_mins(5));
    match expected {
        None => assert_eq!(harness.violations, []),
        Some(expected) => assert!(
            harness.violations.contains(&expected),
            "{:?}",
            harness.violations
        ),
    }
}
