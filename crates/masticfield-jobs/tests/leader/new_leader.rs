//! What a new leader does with the state and the executors that it finds.

use std::time::Duration;

use masticfield_jobs::job::JobId;
use masticfield_jobs::leader::{
    Call, CallError, ClaimWatch, Effect, Event, HoldReport, JobRequestKind, Leader,
};
use masticfield_jobs::state::{Command, HostClaim};
use rstest::rstest;

use crate::support::{
    EXECUTOR, LEADING_SINCE, announce_capacity, held, host, moment, options, started_runs, state,
    submit,
};

/// Executors announce themselves every 1.5 s. A new leader polls them instead of waiting for that.
#[test]
fn a_new_leader_polls_idle_executors_and_starts_tasks_once_they_answer() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    let decision = leader.decide(moment(0));
    let hold = decision
        .after_commit
        .iter()
        .find_map(|effect| match effect {
            Effect::Call {
                call: Call::Hold { sent, .. },
                ..
            } => Some(*sent),
            _ => None,
        });
    let sent = hold.expect("the executor is polled");
    leader.handle(moment(5), submit(7));
    assert!(leader.decide(moment(5)).commands.len() == 1, "only the job");
    leader.handle(
        moment(10),
        Event::HoldResult {
            executor: EXECUTOR,
            sent,
            result: Ok(HoldReport {
                clock_ms: 50,
                started_ms: Some(5),
                running: Vec::new(),
                finished: Vec::new(),
            }),
        },
    );
    let commands = leader.decide(moment(10)).commands;
    let starts = commands
        .iter()
        .any(|command| matches!(command, Command::Start { .. }));
    assert!(starts, "{commands:?}");
}

/// A former leader may still have requests in effect for hosts that it claimed recently. The new
/// leader waits for those to expire, and moves all other hosts at once.
#[rstest]
#[case::long_ago(None, 200)]
#[case::a_second_ago(Some(1_000), 2_200)]
#[case::just_now(Some(0), 3_200)]
fn a_new_leader_moves_a_host_once_a_former_leaders_requests_have_expired(
    #[case] claimed_ms_ago: Option<u64>,
    #[case] ordered_by_ms: u64,
) {
    let mut watch = ClaimWatch::new(Duration::ZERO);
    if let Some(age_ms) = claimed_ms_ago {
        let unclaim = Command::Unclaim { host: "h2".into() };
        watch.record(
            LEADING_SINCE.saturating_sub(Duration::from_millis(age_ms)),
            &unclaim,
        );
    }
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    let hosts = vec![host("h1", "p", Some("e1")), host("h2", "standby", None)];
    let hosts = Some(hosts);
    leader.handle(moment(0), Event::HostList { hosts });
    let ordered = (0..50).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(moment(*ms)).after_commit;
        effects.iter().any(|effect| {
            matches!(effect, Effect::OrderHost { host, claim: HostClaim::Move { .. }, .. } if **host == *"h2")
        })
    });
    let ordered = ordered.expect("the pool is short of hosts");
    assert!(ordered <= ordered_by_ms, "ordered after {ordered} ms");
    let earliest = claimed_ms_ago.map_or(0, |age_ms| 3_000 - age_ms);
    assert!(ordered >= earliest, "ordered after {ordered} ms");
}

/// After every replica has restarted, none has observed when hosts were last claimed. Without the
/// times in the state, no host was moved until a lease had passed since the restart.
#[rstest]
#[case::not_claimed(None, 4_000, 0)]
#[case::claimed_before_the_lease(Some(4_000), 4_000, 0)]
#[case::claimed_within_the_lease(Some(1_500), 1_500, 1_500)]
#[case::claimed_since_the_last_measurement(Some(0), 0, 3_000)]
#[case::not_measured_for_long_enough(None, 1_000, 2_000)]
fn a_restarted_replica_moves_a_host_by_the_time_of_its_last_claim_in_the_state(
    #[case] claimed_ms_ago: Option<u64>,
    #[case] measured_ms: u64,
    #[case] expected_ms: u64,
) {
    let mut state = state();
    if claimed_ms_ago.is_some() {
        let claim = HostClaim::Move { pool: "p".into() };
        state.apply(Command::Claim {
            host: "h2".into(),
            claim,
            executor: None,
        });
        state.apply(Command::Unclaim { host: "h2".into() });
        if claimed_ms_ago != Some(0) {
            state.apply(Command::Elapsed { ms: 500 });
        }
    }
    state.apply(Command::Elapsed { ms: measured_ms });
    if claimed_ms_ago == Some(0) {
        state.apply(Command::Elapsed { ms: 10_000 });
        let claim = HostClaim::Move { pool: "q".into() };
        state.apply(Command::Claim {
            host: "h2".into(),
            claim,
            executor: None,
        });
        state.apply(Command::Unclaim { host: "h2".into() });
    }
    let watch = ClaimWatch::new(LEADING_SINCE);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    let hosts = vec![host("h1", "p", Some("e1")), host("h2", "standby", None)];
    let hosts = Some(hosts);
    leader.handle(moment(0), Event::HostList { hosts });
    let ordered = (0..50).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(moment(*ms)).after_commit;
        effects.iter().any(|effect| {
            matches!(effect, Effect::OrderHost { host, claim: HostClaim::Move { .. }, .. } if **host == *"h2")
        })
    });
    let ordered = ordered.expect("the pool is short of hosts");
    let latest = expected_ms + 200;
    assert!(
        (expected_ms..=latest).contains(&ordered),
        "ordered after {ordered} ms"
    );
}

/// An executor answers polls again, and its announcements have not come since.
#[test]
fn a_new_leader_awaits_an_announcement_that_was_overdue() {
    let mut state = state();
    state.apply(Command::Overdue {
        executor: EXECUTOR,
        overdue: true,
    });
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(5), held(moment(0), 5, &[]));
    leader.handle(moment(6), submit(1));
    assert_eq!(started_runs(&leader.decide(moment(6)).commands), []);
    announce_capacity(&mut leader, 10, 32_000);
    assert_eq!(started_runs(&leader.decide(moment(10)).commands).len(), 1);
}

/// An executor was cut off from the former leader, whose order to start has not arrived, and its capacity
/// may have shrunk meanwhile. Only an announcement shows that.
#[rstest]
#[case::in_touch(false, false, None, true)]
#[case::announcements_overdue(true, false, None, false)]
#[case::without_an_answer_at_first(false, true, None, false)]
#[case::announced_again(true, false, Some(32_000), true)]
#[case::announced_again_after_no_answer(false, true, Some(32_000), true)]
#[case::announced_with_less(true, false, Some(500), false)]
fn an_inherited_order_is_repeated_once_the_capacity_is_known(
    #[case] overdue: bool,
    #[case] silent: bool,
    #[case] announced_milli: Option<u64>,
    #[case] is_repeated: bool,
) {
    let mut state = state();
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut former = Leader::new(state.clone(), options(), watch.clone(), moment(0));
    former.decide(moment(0));
    former.handle(moment(1), held(moment(0), 900, &[]));
    former.handle(moment(2), submit(7));
    let commands = former.decide(moment(2)).commands;
    let run = started_runs(&commands)[0];
    for command in commands {
        state.apply(command);
    }
    state.apply(Command::Overdue {
        executor: EXECUTOR,
        overdue,
    });
    let mut leader = Leader::new(state, options(), watch, moment(10));
    leader.decide(moment(10));
    if silent {
        let unanswered = Event::HoldResult {
            executor: EXECUTOR,
            sent: moment(10).monotonic,
            result: Err(CallError::Unknown),
        };
        leader.handle(moment(20), unanswered);
        leader.decide(moment(300));
    }
    if let Some(cpu_milli) = announced_milli {
        announce_capacity(&mut leader, 305, cpu_milli);
    }
    leader.handle(moment(310), held(moment(300), 1_210, &[]));
    let effects = leader.decide(moment(310)).after_commit;
    let calls = effects.iter().filter_map(|effect| match effect {
        Effect::Call { call, .. } => Some(call),
        _ => None,
    });
    let calls: Vec<_> = calls.collect();
    let started = calls.iter().any(|call| matches!(call, Call::Start { .. }));
    assert_eq!(started, is_repeated, "{calls:?}");
    assert_eq!(
        calls.contains(&&Call::Stop { run }),
        !is_repeated,
        "{calls:?}"
    );
}

/// After a change of the leader, pools were short of hosts for 4 to 5 s, as the new leader did not
/// know the offered load. It is restored from the jobs in the state, as of the latest acceptance.
#[rstest]
#[case::surge_at_the_change(80, 0, true)]
#[case::surge_before_a_time_without_a_leader(80, 4_000, true)]
#[case::surge_long_ago(80, 9_000, false)]
#[case::few_jobs(3, 0, false)]
fn a_new_leader_orders_hosts_for_the_load_that_it_finds(
    #[case] jobs: u64,
    #[case] gap_ms: u64,
    #[case] expected: bool,
) {
    let mut state = state();
    for job in 0..jobs {
        let Event::JobRequest { request, .. } = submit(job) else {
            unreachable!("a request");
        };
        let JobRequestKind::Submit(mut spec) = request.kind else {
            unreachable!("a submission");
        };
        spec.steps[0].count = 8;
        spec.steps[0].need.cpu_milli = 2_000;
        let queue = state.queue_id("a.example", "/q/").expect("the queue");
        // Accepted within the second before the gap; cancelled, so that no work waits.
        let at_ms = moment(0).wall_ms - gap_ms - 1_000 + job * 1_000 / jobs;
        state.apply(Command::Submit {
            job: JobId::new(job),
            queue,
            spec,
            at_ms,
        });
    }
    let mut leader = Leader::new(state, options(), ClaimWatch::new(Duration::ZERO), moment(0));
    let hosts = (0..60).map(|number| host(&format!("s{number}"), "standby", None));
    let hosts = std::iter::once(host("h1", "p", Some("e1"))).chain(hosts);
    let hosts = Some(hosts.collect());
    leader.handle(moment(0), Event::HostList { hosts });
    let mut ordered = 0;
    for ms in (0..600).step_by(100) {
        let effects = leader.decide(moment(ms)).after_commit;
        let orders = effects
            .iter()
            .filter(|effect| matches!(effect, Effect::OrderHost { .. }));
        ordered += orders.count();
    }
    assert_eq!(ordered > 15, expected, "{ordered} hosts ordered");
}
