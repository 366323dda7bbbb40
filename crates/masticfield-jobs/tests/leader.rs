//! The first decisions of a new leader.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, RunId, StepSpec, TaskId};
use masticfield_jobs::leader::{
    Announcement, Call, CallError, ClaimWatch, Effect, Event, HoldReport, HostError, HostOptions,
    JobRequest, JobRequestKind, Leader, LeaderOptions, ListedEnd, ListedHost, ListedRun, Moment,
    ReplyId,
};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::{
    Command, EndKind, ExecutorIncarnation, ExecutorKey, HostClaim, State, WaveOrder,
};
use rstest::rstest;

const EXECUTOR: ExecutorKey = ExecutorKey(1);

const HOST: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 131_072,
    gpus: 0,
};

/// Monotonic time at which the leadership begins.
const LEADING_SINCE: Duration = Duration::from_secs(100);

fn moment(elapsed_ms: u64) -> Moment {
    Moment {
        monotonic: LEADING_SINCE + Duration::from_millis(elapsed_ms),
        wall_ms: 1_700_000_000_000 + elapsed_ms,
    }
}

fn config() -> QueuesConfig {
    let pool = |name: &str, standby| PoolConfig {
        name: name.into(),
        max_connections: 64,
        rejects_overload: false,
        standby,
    };
    QueuesConfig {
        version: 1,
        queues: vec![QueueConfig {
            name: "q".into(),
            authority: "a.example".into(),
            prefix: "/q/".into(),
            pool: "p".into(),
            timeout_ms: 3_000,
            target_ms: 600,
            priority: 0,
            max_attempts: 2,
            stretch: 1.6,
            advice: None,
            public: false,
        }],
        pools: vec![pool("p", false), pool("standby", true)],
        limits: None,
        workspaces: None,
    }
}

fn state() -> State {
    let mut state = State::default();
    state.apply(Command::Configure {
        config: config(),
        content: b"config"[..].into(),
    });
    state.apply(Command::Enlist {
        executor: EXECUTOR,
        incarnation: ExecutorIncarnation {
            id: "e1".into(),
            started_ms: 5,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: None,
            capacity: HOST,
        },
    });
    state
}

fn options() -> LeaderOptions {
    LeaderOptions::new(Duration::from_secs(5)).hosts(HostOptions {
        move_time: Duration::from_millis(1_500),
        upkeep_time: Duration::from_secs(2),
        handover: Duration::from_secs(3),
        orders_per_s: None,
    })
}

fn submit(job: u64) -> Event {
    let spec = JobSpec {
        payload: "".into(),
        steps: vec![StepSpec {
            count: 1,
            need: Resources {
                cpu_milli: 1_000,
                memory_mb: 10,
                gpus: 0,
            },
            estimate_ms: 500,
            ..StepSpec::default()
        }],
        timetable: None,
    };
    Event::JobRequest {
        reply_to: ReplyId(job),
        request: JobRequest {
            authority: "a.example".into(),
            path: format!("/q/{}", JobId::new(job)),
            kind: JobRequestKind::Submit(spec),
            key: None,
        },
    }
}

fn host(name: &str, pool: &str, executor: Option<&str>) -> ListedHost {
    ListedHost {
        name: name.into(),
        pool: pool.into(),
        up: true,
        kind: None,
        capacity: HOST,
        executor: executor.map(Into::into),
    }
}

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

/// Between two surges a host is released to standby and needed again. The list that was made while it
/// moved showed it as not up, so that it was not used until the next list, up to 10 s later.
#[test]
fn a_host_is_moved_from_standby_again_as_soon_as_it_has_arrived_there() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    let names = ["h1", "h2", "h3", "h4", "h5"];
    let listed = |moved: Option<&str>| {
        let hosts = names.iter().map(|name| match *name {
            name if Some(name) == moved => ListedHost {
                up: false,
                ..host(name, "standby", None)
            },
            name => host(name, "p", (name == "h1").then_some("e1")),
        });
        let hosts = Some(hosts.collect());
        Event::HostList { hosts }
    };
    leader.handle(moment(0), listed(None));
    // The host of this executor is unknown, so that the list is requested again and again.
    announce(&mut leader, 0, "e9", 5);
    let standby = HostClaim::Move {
        pool: "standby".into(),
    };
    let order = |leader: &mut Leader, ms: u64, to: &HostClaim| {
        let effects = leader.decide(moment(ms)).after_commit;
        let lists = effects.contains(&Effect::ListHosts);
        let ordered = effects.into_iter().find_map(|effect| match effect {
            Effect::OrderHost { host, claim, .. } if claim == *to => Some(host),
            _ => None,
        });
        (lists, ordered)
    };
    let mut ticks = (0..100).map(|tick| tick * 100);
    let released = ticks.find_map(|ms| {
        let (lists, ordered) = order(&mut leader, ms, &standby);
        if lists {
            leader.handle(moment(ms), listed(None));
        }
        Some((ms, ordered?))
    });
    let (released_ms, name) = released.expect("the pool has more hosts than it needs");
    let taken_ms = released_ms + 20;
    let answer = Event::HostOrderResult {
        host: Arc::clone(&name),
        claim: standby.clone(),
        result: Ok(()),
    };
    leader.handle(moment(taken_ms), answer);
    let mut ticks = (1..15).map(|tick| released_ms + tick * 100);
    let listed_ms = ticks.find(|ms| order(&mut leader, *ms, &standby).0);
    let listed_ms = listed_ms.expect("a list is requested while the host moves");
    leader.handle(moment(listed_ms + 10), listed(Some(&name)));
    let back = HostClaim::Move { pool: "p".into() };
    let arrived_ms = taken_ms + 1_500 + 400;
    for job in 1..=400 {
        leader.handle(moment(arrived_ms), submit(job));
    }
    let mut ticks = (0..40).map(|tick| arrived_ms + tick * 100);
    let moved_ms = ticks.find(|ms| order(&mut leader, *ms, &back).1.as_ref() == Some(&name));
    let moved_ms = moved_ms.expect("the pool is short of hosts");
    assert!(moved_ms <= arrived_ms + 200, "moved after {moved_ms} ms");
}

/// Two pools, and a former leader's job of which each executor of the first pool runs a task.
fn state_with_two_pools(executors: u32) -> (State, Vec<RunId>) {
    let mut config = config();
    let mut queue = config.queues[0].clone();
    queue.name = "r".into();
    queue.prefix = "/r/".into();
    queue.pool = "r".into();
    config.queues.push(queue);
    let mut pool = config.pools[0].clone();
    pool.name = "r".into();
    config.pools.push(pool);
    let mut state = State::default();
    let content = b"config"[..].into();
    state.apply(Command::Configure { config, content });
    let Event::JobRequest { request, .. } = submit(1_000) else {
        unreachable!("a submission is a request");
    };
    let JobRequestKind::Submit(mut spec) = request.kind else {
        unreachable!("the request submits a job");
    };
    spec.steps[0].count = executors;
    let job = JobId::new(1_000);
    let queue = state.queue_id("a.example", "/q/");
    let queue = queue.expect("the queue is configured");
    let wall_ms = moment(0).wall_ms;
    state.apply(Command::submit(None, job, queue, spec, wall_ms));
    let runs = (1..=executors).map(|number| {
        let executor = ExecutorKey(number);
        let incarnation = incarnation(&format!("e{number}"), 5);
        state.apply(Command::Enlist {
            executor,
            incarnation,
        });
        let run = TaskId::new(job, 0, 0, number - 1).run(1);
        state.apply(Command::Start { run, executor });
        run
    });
    let runs = runs.collect();
    (state, runs)
}

/// One pool releases hosts when the surge of another begins. A host that had to go to standby first
/// would come to the other pool after two moves.
#[test]
fn a_host_that_drains_for_standby_goes_to_the_pool_that_lacks_one() {
    let (state, runs) = state_with_two_pools(6);
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    let names = ["h1", "h2", "h3", "h4", "h5", "h6"];
    let hosts = (1..).zip(names).map(|(number, name)| {
        let executor = format!("e{number}");
        host(name, "p", Some(executor.as_str()))
    });
    let enough = ["r1", "r2", "r3"].map(|name| host(name, "r", None));
    let hosts = Some(hosts.chain(enough).collect());
    leader.handle(moment(0), Event::HostList { hosts });
    let mut claims = Vec::new();
    for ms in (0..8_000).step_by(50) {
        let now = moment(ms);
        // Released after 3 s, hosts drain until their tasks have ended.
        if (3_200..3_600).contains(&ms) {
            for job in ms..ms + 20 {
                let Event::JobRequest {
                    reply_to,
                    mut request,
                } = submit(job)
                else {
                    unreachable!("a submission is a request");
                };
                request.path = request.path.replace("/q/", "/r/");
                leader.handle(now, Event::JobRequest { reply_to, request });
            }
        }
        for effect in leader.decide(now).after_commit {
            match effect {
                Effect::OrderHost { claim, .. } => claims.push(claim),
                Effect::Call {
                    executor,
                    call: Call::Hold { sent, .. },
                    ..
                } => {
                    let run = runs[executor.0 as usize - 1];
                    let ended = ms >= 3_400;
                    let finished = ListedEnd {
                        number: 1,
                        run,
                        kind: EndKind::Done,
                        saved: None,
                    };
                    let running = ListedRun {
                        run,
                        saved: None,
                        percent: 0,
                        load: None,
                    };
                    let result = Ok(HoldReport {
                        clock_ms: ms,
                        started_ms: Some(5),
                        running: if ended { Vec::new() } else { vec![running] },
                        finished: if ended { vec![finished] } else { Vec::new() },
                    });
                    let held = Event::HoldResult {
                        executor,
                        sent,
                        result,
                    };
                    leader.handle(now, held);
                }
                _ => {}
            }
        }
    }
    let first = claims.first().expect("hosts are moved");
    assert_eq!(*first, HostClaim::Move { pool: "r".into() }, "{claims:?}");
}

/// A host that a former leader sent to upkeep may still be away, and counts towards the cap.
#[test]
fn a_new_leader_begins_no_upkeep_while_a_former_leaders_may_be_running() {
    let mut state = state();
    let order = WaveOrder {
        number: 1,
        hosts: vec!["h1".into(), "h2".into()],
        duration_ms: 5_000,
        cap: 1,
    };
    state.apply(Command::Wave {
        order,
        at_ms: moment(0).wall_ms,
    });
    state.apply(Command::UpkeepBegun {
        wave: 1,
        host: "h1".into(),
    });
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, moment(0));
    let away = ListedHost {
        up: false,
        ..host("h1", "p", None)
    };
    let hosts = Some(vec![away, host("h2", "p", Some("e1"))]);
    leader.handle(moment(0), Event::HostList { hosts });
    let upkeep = HostClaim::Upkeep { wave: 1 };
    let ordered = (0..60).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(moment(*ms)).after_commit;
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::OrderHost { claim, .. } if *claim == upkeep))
    });
    let ordered = ordered.expect("the wave continues");
    // The former leader's upkeep may last for 2 s.
    assert!(ordered >= 2_000, "ordered after {ordered} ms");
}

/// With thousands of tasks a second, answers wait before the leader processes them. Progress is
/// measured by the executor's clock, or every executor would seem slow.
#[rstest]
#[case::processed_late(1_150, 10, false)]
#[case::slow(4_000, 5, true)]
fn progress_is_measured_by_the_executors_clock(
    #[case] clock_ms: u64,
    #[case] percent: u32,
    #[case] expected: bool,
) {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    let held = |sent, clock_ms, running| Event::HoldResult {
        executor: EXECUTOR,
        sent,
        result: Ok(HoldReport {
            clock_ms,
            started_ms: Some(5),
            running,
            finished: Vec::new(),
        }),
    };
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0).monotonic, 900, Vec::new()));
    for job in [7, 8] {
        leader.handle(moment(2), submit(job));
    }
    let decision = leader.decide(moment(2));
    let starts = decision
        .commands
        .iter()
        .filter_map(|command| match command {
            Command::Start { run, .. } => Some(*run),
            _ => None,
        });
    let starts: Vec<_> = starts.collect();
    assert_eq!(starts.len(), 2);
    for run in &starts {
        let started = Event::StartResult {
            executor: EXECUTOR,
            run: *run,
            result: Ok(1_000),
        };
        leader.handle(moment(5), started);
    }
    let running = starts.iter().map(|run| ListedRun {
        run: *run,
        saved: None,
        percent,
        load: None,
    });
    leader.handle(
        moment(3_000),
        held(moment(6).monotonic, clock_ms, running.collect()),
    );
    let effects = leader.decide(moment(3_000)).after_commit;
    let stopped = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Call {
                call: Call::Stop { .. },
                ..
            }
        )
    });
    assert_eq!(stopped, expected);
}

/// An executor ends and comes back between two requests for the upkeep of its host. The platform
/// carries out the second one, so that the host is away and counts towards the cap, also if the
/// first one got no answer and may have been carried out, and if a list that was made before the
/// upkeep arrives after it has begun.
#[rstest]
#[case::refused(HostError::NotUp)]
#[case::unanswered(HostError::Unknown)]
fn an_upkeep_of_a_host_that_came_back_counts_towards_the_cap(#[case] first: HostError) {
    let mut leader = Leader::new(
        state_with_wave_of_two(),
        options(),
        ClaimWatch::new(Duration::ZERO),
        moment(0),
    );
    let list = |leader: &mut Leader, ms| {
        let hosts = vec![host("h1", "p", Some("e1")), host("h2", "p", Some("e2"))];
        let hosts = Some(hosts);
        leader.handle(moment(ms), Event::HostList { hosts });
    };
    // Returns the host that an upkeep is ordered for, and when, if that is before `until`.
    let next_order = |leader: &mut Leader, from: u64, until: u64| {
        (from..until).step_by(100).find_map(|ms| {
            let effects = leader.decide(moment(ms)).after_commit;
            if effects.contains(&Effect::ListHosts) {
                list(leader, ms);
            }
            effects.into_iter().find_map(|effect| match effect {
                Effect::OrderHost {
                    host,
                    claim: HostClaim::Upkeep { .. },
                    ..
                } => Some((host, ms)),
                _ => None,
            })
        })
    };
    let answer = |leader: &mut Leader, ms, host: &Arc<str>, result| {
        let answer = Event::HostOrderResult {
            host: Arc::clone(host),
            claim: HostClaim::Upkeep { wave: 1 },
            result,
        };
        leader.handle(moment(ms), answer);
    };
    list(&mut leader, 0);
    let (taken, ms) = next_order(&mut leader, 0, 10_000).expect("the wave begins");
    answer(&mut leader, ms + 10, &taken, Err(first));
    let id: Arc<str> = if *taken == *"h1" {
        "e1".into()
    } else {
        "e2".into()
    };
    announce(&mut leader, ms + 50, &id, 50_000);
    let (again, ms) = next_order(&mut leader, ms + 100, ms + 5_000).expect("the order is repeated");
    assert_eq!(again, taken);
    answer(&mut leader, ms + 10, &taken, Ok(()));
    list(&mut leader, ms + 20);
    let other = next_order(&mut leader, ms + 100, ms + 5_000).expect("the wave goes on");
    assert_ne!(other.0, taken);
    assert!(other.1 >= ms + 2_000, "{} ms after the first", other.1 - ms);
}

fn incarnation(id: &str, started_ms: u64) -> ExecutorIncarnation {
    ExecutorIncarnation {
        id: id.into(),
        started_ms,
        pool: "p".into(),
        address: format!("127.0.0.1:{id}").into(),
        zone: "z".into(),
        labels: Vec::new(),
        rack: None,
        capacity: HOST,
    }
}

fn announce(leader: &mut Leader, ms: u64, id: &str, started_ms: u64) {
    let announcement = Announcement {
        incarnation: incarnation(id, started_ms),
        sequence: 1,
        clock_ms: 10,
        leaving: false,
    };
    let announced = Event::Announced {
        reply_to: ReplyId(ms),
        announcement,
    };
    leader.handle(moment(ms), announced);
}

/// Two hosts of a pool with executors `e1` and `e2`, and a wave that takes one at a time.
fn state_with_wave_of_two() -> State {
    let mut state = State::default();
    state.apply(Command::Configure {
        config: config(),
        content: b"config"[..].into(),
    });
    for id in ["e1", "e2"] {
        state.apply(Command::Enlist {
            executor: state.next_executor_key(),
            incarnation: incarnation(id, 5),
        });
    }
    let order = WaveOrder {
        number: 1,
        hosts: vec!["h1".into(), "h2".into()],
        duration_ms: 20_000,
        cap: 1,
    };
    state.apply(Command::Wave {
        order,
        at_ms: moment(0).wall_ms,
    });
    state
}

fn held(sent: Moment, clock_ms: u64, running: &[RunId]) -> Event {
    let running = running.iter().map(|run| ListedRun {
        run: *run,
        saved: None,
        percent: 0,
        load: None,
    });
    Event::HoldResult {
        executor: EXECUTOR,
        sent: sent.monotonic,
        result: Ok(HoldReport {
            clock_ms,
            started_ms: Some(5),
            running: running.collect(),
            finished: Vec::new(),
        }),
    }
}

fn started_runs(commands: &[Command]) -> Vec<RunId> {
    let starts = commands.iter().filter_map(|command| match command {
        Command::Start { run, .. } => Some(*run),
        _ => None,
    });
    starts.collect()
}

/// Two polls are under way while a run starts, and the executor answers the later one first.
#[test]
fn a_run_is_not_ended_by_a_poll_that_was_answered_before_it_started() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(7));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    leader.handle(moment(30), held(moment(5), 930, &runs));
    leader.handle(moment(31), held(moment(10), 925, &[]));
    let commands = leader.decide(moment(31)).commands;
    assert_eq!(commands, [], "{runs:?} was listed at 30 ms");
    leader.handle(moment(60), held(moment(31), 960, &[]));
    let ended = leader.decide(moment(60)).commands;
    let ended = ended
        .iter()
        .any(|command| matches!(command, Command::End { .. }));
    assert!(ended, "{runs:?} is missing in a poll sent since");
}

/// An executor lists at most 500 ends at a time. That of the run follows in the next report.
#[test]
fn a_run_is_not_taken_for_gone_while_an_executor_has_more_ends_to_list() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(7));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    leader.handle(moment(30), held(moment(5), 930, &runs));
    leader.decide(moment(31));
    let end = |number: u64, run: RunId| ListedEnd {
        number,
        run,
        kind: EndKind::Done,
        saved: None,
    };
    let ended = |sent: Moment, finished: Vec<ListedEnd>| Event::HoldResult {
        executor: EXECUTOR,
        sent: sent.monotonic,
        result: Ok(HoldReport {
            clock_ms: 1_500,
            started_ms: Some(5),
            running: Vec::new(),
            finished,
        }),
    };
    let other = |number: u64| TaskId::new(JobId::new(number), 0, 0, 0).run(1);
    let first = (1..=500).map(|number| end(number, other(1_000 + number)));
    leader.handle(moment(600), ended(moment(40), first.collect()));
    assert_eq!(started_runs(&leader.decide(moment(600)).commands), []);
    leader.handle(moment(610), ended(moment(601), vec![end(501, runs[0])]));
    let commands = leader.decide(moment(610)).commands;
    let done = commands.iter().any(|command| {
        matches!(command, Command::End { run, kind: EndKind::Done, .. } if *run == runs[0])
    });
    assert!(done, "{commands:?}");
}

/// An order without an answer is repeated for seconds, while an executor that leaves may be given no
/// more tasks.
#[test]
fn an_order_to_an_executor_that_leaves_is_not_repeated() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    leader.decide(moment(0));
    leader.handle(moment(1), held(moment(0), 900, &[]));
    leader.handle(moment(2), submit(7));
    let runs = started_runs(&leader.decide(moment(2)).commands);
    let state = state();
    let record = state.executor(EXECUTOR).expect("in the state");
    let announcement = Announcement {
        incarnation: record.incarnation.clone(),
        sequence: 1,
        clock_ms: 1_000,
        leaving: true,
    };
    let reply_to = ReplyId(9);
    let leaves = Event::Announced {
        reply_to,
        announcement,
    };
    leader.handle(moment(100), leaves);
    let unanswered = Event::StartResult {
        executor: EXECUTOR,
        run: runs[0],
        result: Err(CallError::Unknown),
    };
    leader.handle(moment(1_200), unanswered);
    let decisions = [1_200, 1_400, 1_600].map(|ms| leader.decide(moment(ms)));
    let calls = decisions.iter().flat_map(|decision| &decision.after_commit);
    let calls: Vec<_> = calls
        .filter_map(|effect| match effect {
            Effect::Call { call, .. } => Some(call),
            _ => None,
        })
        .collect();
    let is_start = |call: &&Call| matches!(call, Call::Start { .. });
    let is_stop = |call: &&Call| matches!(call, Call::Stop { run } if *run == runs[0]);
    assert!(!calls.iter().any(is_start), "{calls:?}");
    assert!(calls.iter().any(is_stop), "{calls:?}");
}

/// Announces the executor of [`state`] with an amount of processor time.
fn announce_capacity(leader: &mut Leader, ms: u64, cpu_milli: u64) {
    let state = state();
    let record = state.executor(EXECUTOR).expect("in the state");
    let mut incarnation = record.incarnation.clone();
    incarnation.capacity.cpu_milli = cpu_milli;
    let announcement = Announcement {
        incarnation,
        sequence: ms + 1,
        clock_ms: ms,
        leaving: false,
    };
    let reply_to = ReplyId(ms);
    leader.handle(
        moment(ms),
        Event::Announced {
            reply_to,
            announcement,
        },
    );
}

#[test]
fn tasks_start_within_the_capacity_that_was_announced_last() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    announce_capacity(&mut leader, 0, 32_000);
    announce_capacity(&mut leader, 10, 2_000);
    leader.handle(moment(11), held(moment(0), 11, &[]));
    for job in 1..=4 {
        leader.handle(moment(12), submit(job));
    }
    let shrunk = started_runs(&leader.decide(moment(12)).commands);
    assert_eq!(shrunk.len(), 2, "each task needs one core");
    leader.handle(moment(20), held(moment(13), 20, &shrunk));
    announce_capacity(&mut leader, 30, 32_000);
    let grown = started_runs(&leader.decide(moment(30)).commands);
    assert_eq!(grown.len(), 2, "{grown:?}");
}

/// An order to start has got no answer, and the capacity shrinks before it is repeated.
#[test]
fn an_order_that_no_longer_fits_is_not_repeated() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, moment(0));
    announce_capacity(&mut leader, 0, 32_000);
    leader.handle(moment(1), submit(1));
    let run = started_runs(&leader.decide(moment(1)).commands)[0];
    let result = Err(CallError::Unknown);
    let executor = EXECUTOR;
    leader.handle(
        moment(50),
        Event::StartResult {
            executor,
            run,
            result,
        },
    );
    announce_capacity(&mut leader, 60, 500);
    let effects = leader.decide(moment(300)).after_commit;
    let calls = effects.iter().filter_map(|effect| match effect {
        Effect::Call { call, .. } => Some(call),
        _ => None,
    });
    let calls: Vec<_> = calls.collect();
    assert!(calls.contains(&&Call::Stop { run }), "{calls:?}");
    let repeated = calls.iter().any(|call| matches!(call, Call::Start { .. }));
    assert!(!repeated, "{calls:?}");
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
