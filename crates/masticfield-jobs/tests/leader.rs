//! What a new leader does first.

use std::sync::Arc;
use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec};
use masticfield_jobs::leader::{
    Call, ClaimWatch, Effect, Event, HoldReport, HostOptions, JobRequest, JobRequestKind, Leader,
    LeaderOptions, ListedHost, ListedRun, Moment, ReplyId,
};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::{
    Command, ExecutorIncarnation, ExecutorKey, HostClaim, State, WaveOrder,
};
use rstest::rstest;

const EXECUTOR: ExecutorKey = ExecutorKey(1);

const HOST: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 131_072,
    gpus: 0,
};

/// When the leadership begins.
const BEGUN: Duration = Duration::from_secs(100);

fn at(after_ms: u64) -> Moment {
    Moment {
        monotonic: BEGUN + Duration::from_millis(after_ms),
        wall_ms: 1_700_000_000_000 + after_ms,
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
        }],
        pools: vec![pool("p", false), pool("standby", true)],
        limits: None,
    }
}

fn state() -> State {
    let mut state = State::default();
    state.apply(Command::Configure {
        config: config(),
        content: Arc::from(&b"config"[..]),
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

/// Executors announce themselves each 1.5 s; a new leader does not wait for that.
#[test]
fn a_new_leader_asks_idle_executors_and_starts_tasks_once_they_have_answered() {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, at(0));
    let turn = leader.decide(at(0));
    let hold = turn.after_commit.iter().find_map(|effect| match effect {
        Effect::Call {
            call: Call::Hold { sent, .. },
            ..
        } => Some(*sent),
        _ => None,
    });
    let sent = hold.expect("the executor is asked");
    leader.handle(at(5), submit(7));
    assert!(leader.decide(at(5)).commands.len() == 1, "only the job");
    leader.handle(
        at(10),
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
    let commands = leader.decide(at(10)).commands;
    let starts = commands
        .iter()
        .any(|command| matches!(command, Command::Start { .. }));
    assert!(starts, "{commands:?}");
}

/// Hosts that a former leader may have asked about of late are left to it until its lease is
/// over; the others come at once.
#[rstest]
#[case::long_ago(None, 200)]
#[case::a_second_ago(Some(1_000), 2_200)]
#[case::just_now(Some(0), 3_200)]
fn a_new_leader_moves_hosts_that_the_former_one_has_left_alone(
    #[case] claimed_ms_ago: Option<u64>,
    #[case] ordered_by_ms: u64,
) {
    let mut watch = ClaimWatch::new(Duration::ZERO);
    if let Some(ago) = claimed_ms_ago {
        let unclaim = Command::Unclaim { host: "h2".into() };
        watch.record(BEGUN.saturating_sub(Duration::from_millis(ago)), &unclaim);
    }
    let mut leader = Leader::new(state(), options(), watch, at(0));
    let hosts = vec![host("h1", "p", Some("e1")), host("h2", "standby", None)];
    let hosts = Some(hosts);
    leader.handle(at(0), Event::HostList { hosts });
    let ordered = (0..50).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(at(*ms)).after_commit;
        effects.iter().any(|effect| {
            matches!(effect, Effect::OrderHost { host, claim: HostClaim::Move { .. }, .. } if **host == *"h2")
        })
    });
    let ordered = ordered.expect("the pool is short of hosts");
    assert!(ordered <= ordered_by_ms, "ordered after {ordered} ms");
    let earliest = claimed_ms_ago.map_or(0, |ago| 3_000 - ago);
    assert!(ordered >= earliest, "ordered after {ordered} ms");
}

/// A host that the former leader has taken for upkeep may still be away, and counts for the cap.
#[test]
fn a_new_leader_begins_no_upkeep_while_that_of_the_former_one_may_last() {
    let mut state = state();
    let order = WaveOrder {
        number: 1,
        hosts: vec!["h1".into(), "h2".into()],
        duration_ms: 5_000,
        cap: 1,
    };
    state.apply(Command::Wave {
        order,
        at_ms: at(0).wall_ms,
    });
    state.apply(Command::UpkeepBegun {
        wave: 1,
        host: "h1".into(),
    });
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state, options(), watch, at(0));
    let away = ListedHost {
        up: false,
        ..host("h1", "p", None)
    };
    let hosts = Some(vec![away, host("h2", "p", Some("e1"))]);
    leader.handle(at(0), Event::HostList { hosts });
    let upkeep = HostClaim::Upkeep { wave: 1 };
    let ordered = (0..60).map(|tick| tick * 100).find(|ms| {
        let effects = leader.decide(at(*ms)).after_commit;
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::OrderHost { claim, .. } if *claim == upkeep))
    });
    let ordered = ordered.expect("the wave goes on");
    // An upkeep takes 2 s.
    assert!(ordered >= 2_000, "ordered after {ordered} ms");
}

/// Load: thousands of tasks a second, so that answers wait before the leader takes them. What an
/// executor lists is judged by its own clock, or all of them would seem slow.
#[rstest]
#[case::late_to_be_read(1_150, 10, false)]
#[case::slow(4_000, 5, true)]
fn headway_is_judged_by_the_executors_clock(
    #[case] clock_ms: u64,
    #[case] percent: u32,
    #[case] moved: bool,
) {
    let watch = ClaimWatch::new(Duration::ZERO);
    let mut leader = Leader::new(state(), options(), watch, at(0));
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
    leader.decide(at(0));
    leader.handle(at(1), held(at(0).monotonic, 900, Vec::new()));
    for job in [7, 8] {
        leader.handle(at(2), submit(job));
    }
    let turn = leader.decide(at(2));
    let starts = turn.commands.iter().filter_map(|command| match command {
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
        leader.handle(at(5), started);
    }
    let running = starts.iter().map(|run| ListedRun {
        run: *run,
        saved: None,
        percent,
        load: None,
    });
    leader.handle(
        at(3_000),
        held(at(6).monotonic, clock_ms, running.collect()),
    );
    let effects = leader.decide(at(3_000)).after_commit;
    let stops = effects.iter().any(|effect| {
        matches!(
            effect,
            Effect::Call {
                call: Call::Stop { .. },
                ..
            }
        )
    });
    assert_eq!(stops, moved);
}
