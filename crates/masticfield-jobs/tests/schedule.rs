//! Decisions on order, place, size and refusal, each against the load that it answers.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec};
use masticfield_jobs::queue::QueueConfig;
use masticfield_jobs::schedule::{
    Admission, Backlog, Candidate, ClockReading, OfferedLoad, PlacementRequest, PoolLoad, Progress,
    Reliability, ReliabilityStatus, Timeliness, admit, assess_progress, choose, hosts_at_once,
    poll_interval, rank, required_hosts, residual_demand, timeliness,
};
use masticfield_jobs::state::ExecutorKey;
use rstest::rstest;

const HOST: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 131_072,
    gpus: 0,
};

fn cores(cpu_milli: u64) -> Resources {
    Resources {
        cpu_milli,
        memory_mb: 1_000,
        gpus: 0,
    }
}

fn queue(priority: u32) -> QueueConfig {
    QueueConfig {
        name: "q".into(),
        authority: "a".into(),
        prefix: "/q/".into(),
        pool: "p".into(),
        timeout_ms: 3_000,
        target_ms: 600,
        priority,
        max_attempts: 2,
        stretch: 1.6,
        advice: None,
    }
}

fn job(estimate_ms: u64) -> JobSpec {
    JobSpec {
        payload: "".into(),
        steps: vec![StepSpec {
            count: 1,
            need: cores(1_000),
            estimate_ms,
            ..StepSpec::default()
        }],
        timetable: None,
    }
}

fn candidate(key: u32, free: u64) -> Candidate<'static> {
    Candidate {
        key: ExecutorKey(key),
        free: cores(free),
        labels: &[],
        rack: None,
        siblings: 0,
        serving: 0,
        best_effort: 0,
    }
}

fn place(step: &StepSpec, candidates: Vec<Candidate<'_>>) -> Option<u32> {
    let wish = PlacementRequest {
        step,
        near_rack: None,
    };
    choose(wish, candidates.into_iter()).map(|key| key.0)
}

#[rstest]
#[case::room_at_once(0.0, 300.0, 0.0, 100, Admission::Accept)]
#[case::late_but_of_use(900.0, 300.0, 0.0, 5_000, Admission::Accept)]
#[case::of_no_use(3_000.0, 300.0, 0.0, 5_000, Admission::Refuse { retry_after: Duration::from_secs(5) })]
// Load: the first second of a surge, when three hosts are there and twenty are to come.
#[case::hosts_are_to_come(1_000.0, 70.0, 640.0, 5_000, Admission::Accept)]
#[case::hosts_come_too_late(1_050.0, 100.0, 500.0, 2_000, Admission::Refuse { retry_after: Duration::from_secs(1) })]
#[case::all_are_to_come(640.0, 0.0, 640.0, 5_000, Admission::Accept)]
fn a_job_is_refused_when_it_would_be_of_no_use(
    #[case] work: f64,
    #[case] cores: f64,
    #[case] coming: f64,
    #[case] slack_ms: u64,
    #[case] expected: Admission,
) {
    let backlog = Backlog {
        work,
        cores,
        incoming: coming,
    };
    assert_eq!(admit(backlog, Duration::from_millis(slack_ms)), expected);
}

#[rstest]
#[case::in_time(2_000, 500, 1_000, Timeliness::OnTime)]
#[case::late(2_000, 1_500, 1_000, Timeliness::Late)]
#[case::of_no_use(2_000, 5_500, 1_000, Timeliness::TooLate)]
fn a_job_stands_by_what_it_still_needs(
    #[case] on_time: u64,
    #[case] waited: u64,
    #[case] left: u64,
    #[case] expected: Timeliness,
) {
    assert_eq!(timeliness(on_time, waited, left), expected);
}

#[test]
fn lasting_jobs_come_first_then_priority_then_due_time() {
    let lasting = JobSpec {
        steps: vec![StepSpec {
            long_running: true,
            ..job(0).steps[0].clone()
        }],
        ..job(0)
    };
    let order = [
        rank(&lasting, &queue(1), 9_000),
        rank(&job(100), &queue(0), 0),
        rank(&job(100), &queue(0), 50),
        rank(&job(100), &queue(1), 0),
    ];
    assert!(order.is_sorted());
}

#[test]
fn passing_tasks_fill_hosts_so_that_others_become_empty() {
    let step = StepSpec {
        need: cores(2_000),
        ..StepSpec::default()
    };
    let candidates = vec![
        candidate(1, 32_000),
        candidate(2, 3_000),
        candidate(3, 1_000),
    ];
    assert_eq!(place(&step, candidates), Some(2));
}

#[test]
fn lasting_tasks_share_hosts_and_are_spread_over_them() {
    let step = StepSpec {
        need: cores(2_000),
        long_running: true,
        ..StepSpec::default()
    };
    let shared = |key, siblings| Candidate {
        siblings,
        serving: 2,
        ..candidate(key, 20_000)
    };
    let candidates = vec![candidate(1, 32_000), shared(2, 1), shared(3, 0)];
    assert_eq!(place(&step, candidates), Some(3));
}

#[rstest]
#[case::beside_serving(true, 1, 0, None)]
#[case::alone(true, 0, 0, Some(1))]
#[case::bounded_tail_beside_fillers(false, 0, 1, None)]
fn tasks_that_fill_and_tasks_with_a_bound_keep_apart(
    #[case] filler: bool,
    #[case] serving: u32,
    #[case] fillers: u32,
    #[case] expected: Option<u32>,
) {
    let step = StepSpec {
        need: cores(1_000),
        long_running: true,
        best_effort: filler,
        max_tail_ms: (!filler).then_some(50),
        ..StepSpec::default()
    };
    let there = Candidate {
        serving,
        best_effort: fillers,
        ..candidate(1, 32_000)
    };
    assert_eq!(place(&step, vec![there]), expected);
}

#[test]
fn tasks_go_to_the_rack_of_their_data_and_to_no_host_without_their_label() {
    let rack: Arc<str> = "rack-2".into();
    let labels: Vec<Arc<str>> = vec!["gpu".into()];
    let step = StepSpec {
        need: cores(1_000),
        data_rack: Some(Arc::clone(&rack)),
        label: Some("gpu".into()),
        ..StepSpec::default()
    };
    let labelled = |key, rack| Candidate {
        labels: &labels,
        rack,
        ..candidate(key, 8_000)
    };
    let candidates = vec![
        candidate(1, 4_000),
        labelled(2, None),
        labelled(3, Some(&rack)),
    ];
    assert_eq!(place(&step, candidates), Some(3));
}

#[rstest]
#[case::idle(PoolLoad::default(), 3)]
#[case::running(PoolLoad { running: cores(200_000), ..PoolLoad::default() }, 8)]
#[case::surge(PoolLoad { offered_cores: 480.0, ..PoolLoad::default() }, 19)]
#[case::tasks_kept_apart(PoolLoad { spread_hosts: 9, ..PoolLoad::default() }, 10)]
fn a_pool_gets_the_hosts_that_its_load_needs(#[case] load: PoolLoad, #[case] expected: u32) {
    assert_eq!(required_hosts(&load, HOST), expected);
}

#[test]
fn short_tasks_that_wait_ask_for_less_than_long_ones() {
    assert!(residual_demand(300) < residual_demand(1_200));
    assert!((residual_demand(5_000) - 1.0).abs() < f64::EPSILON);
}

/// A surge of 40 jobs a second of 11 core-seconds is seen within a second; one job of 200 is none.
#[test]
fn a_surge_shows_in_its_rate_and_a_single_large_job_does_not() {
    let at = Duration::from_millis;
    let mut surge = OfferedLoad::default();
    for job in 0..40 {
        surge.add(at(job * 25), 11.0);
    }
    let seen = surge.forecast(at(1_000));
    assert!((350.0..900.0).contains(&seen), "{seen}");
    let mut single = OfferedLoad::default();
    single.add(at(0), 200.0);
    assert!(single.forecast(at(1)) < 110.0);
    assert!(surge.forecast(at(6_000)) < 1.0);
}

#[rstest]
#[case::plenty_of_time(4, 60, 8, 1)]
#[case::little_time(20, 20, 8, 7)]
#[case::capped(40, 10, 3, 3)]
fn a_wave_takes_as_few_hosts_at_once_as_end_it_in_time(
    #[case] left: usize,
    #[case] seconds: u64,
    #[case] cap: u32,
    #[case] expected: usize,
) {
    let time = Duration::from_secs(seconds);
    assert_eq!(
        hosts_at_once(left, time, Duration::from_secs(2), cap),
        expected
    );
}

#[test]
fn a_lease_is_over_only_when_the_slowest_clock_has_passed_it() {
    let clock = ClockReading {
        clock_ms: 1_000,
        received: Duration::from_secs(10),
    };
    assert!(!clock.is_past(6_000, Duration::from_millis(15_050)));
    assert!(!clock.is_past(6_000, Duration::from_millis(15_150)));
    assert!(clock.is_past(6_000, Duration::from_millis(15_200)));
}

fn record(failed_jobs: u64, done: u32) -> Reliability {
    let mut record = Reliability::default();
    for _ in 0..done {
        record.record_success(Duration::ZERO);
    }
    for job in 0..failed_jobs {
        record.record_failure(Duration::ZERO, JobId::new(job));
    }
    record
}

/// Load: an executor that fails at once what it starts always has room, so that one job after the
/// other would be drawn in.
#[rstest]
#[case::one_failure(1, 0, ReliabilityStatus::Good)]
#[case::two_jobs_fail_in_a_row(2, 0, ReliabilityStatus::Suspended)]
#[case::much_was_done_before(2, 100, ReliabilityStatus::Suspended)]
fn an_executor_that_fails_tasks_is_suspended(
    #[case] failed_jobs: u64,
    #[case] done: u32,
    #[case] expected: ReliabilityStatus,
) {
    assert_eq!(record(failed_jobs, done).status(Duration::ZERO), expected);
}

#[test]
fn a_job_that_fails_with_all_its_tasks_counts_once() {
    let mut record = Reliability::default();
    for _ in 0..8 {
        assert!(!record.record_failure(Duration::ZERO, JobId::new(1)));
    }
    assert_eq!(record.status(Duration::ZERO), ReliabilityStatus::Good);
}

#[test]
fn a_suspended_executor_is_tried_again_and_trusted_once_a_task_is_done() {
    let mut record = record(2, 0);
    let later = Duration::from_secs(3);
    assert_eq!(record.status(later), ReliabilityStatus::Probation);
    assert!(
        record.record_failure(later, JobId::new(3)),
        "suspended again"
    );
    assert_eq!(record.status(later), ReliabilityStatus::Suspended);
    let later = later * 3;
    record.record_success(later);
    assert_eq!(record.status(later), ReliabilityStatus::Good);
}

/// Load: jobs that fail wherever they run, a few of them on each executor.
#[test]
fn a_job_that_fails_elsewhere_too_does_not_count() {
    let mut record = record(2, 0);
    record.retract_failure(JobId::new(0));
    record.retract_failure(JobId::new(0));
    assert_eq!(record.status(Duration::ZERO), ReliabilityStatus::Good);
    assert!(record.failure_share() > 0.2, "the other failure counts");
}

/// Load: an executor on which work takes several times as long, or stands still.
#[rstest]
#[case::too_early(300, 0, Progress::OnTrack)]
#[case::as_estimated(800, 80, Progress::OnTrack)]
#[case::data_on_another_rack(800, 40, Progress::OnTrack)]
#[case::nearly_done(4_000, 95, Progress::Slow { quicker_elsewhere: false })]
#[case::eight_times_as_long(1_000, 12, Progress::Slow { quicker_elsewhere: true })]
#[case::stands_still(1_000, 0, Progress::Slow { quicker_elsewhere: true })]
fn a_run_gets_on_as_its_estimate_says(
    #[case] under_way_ms: u64,
    #[case] percent: u32,
    #[case] expected: Progress,
) {
    let (estimate, stop) = (Duration::from_secs(1), Duration::from_millis(400));
    let under_way = Duration::from_millis(under_way_ms);
    assert_eq!(
        assess_progress(estimate, under_way, percent, stop),
        expected
    );
}

#[test]
fn each_try_that_goes_wrong_makes_the_next_one_wait_longer() {
    let mut record = record(2, 0);
    let mut tried = Duration::ZERO;
    let mut waits = Vec::new();
    for job in 10..14 {
        let mut now = tried;
        while record.status(now) == ReliabilityStatus::Suspended {
            now += Duration::from_millis(500);
        }
        waits.push(now.saturating_sub(tried).as_secs());
        record.record_failure(now, JobId::new(job));
        tried = now;
    }
    assert_eq!(waits, [2, 4, 8, 8]);
}

/// Load: hundreds of busy executors on which tasks end several times a second.
#[rstest]
#[case::few(40, 0)]
#[case::hundreds(260, 130)]
fn many_busy_executors_are_asked_less_often(#[case] busy: usize, #[case] gap_ms: u128) {
    assert_eq!(poll_interval(busy).as_millis(), gap_ms);
}
