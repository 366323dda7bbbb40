//! Values that a broken or foreign sender may give. None may take the leader down.

use std::time::Duration;

use masticfield_jobs::job::{JobId, JobSpec, Resources, StepSpec, Timetable};
use masticfield_jobs::leader::{
    Announcement, BriefAnnouncement, Call, ClaimWatch, Effect, Event, HoldReport, HostOptions,
    JobRequest, JobRequestKind, Leader, LeaderOptions, ListedEnd, ListedHost, ListedRun, Moment,
    ReplyId,
};
use masticfield_jobs::protocol::{FromEntry, ToEntry};
use masticfield_jobs::queue::{PoolConfig, QueueConfig, QueuesConfig};
use masticfield_jobs::state::{Command, EndKind, ExecutorIncarnation, State, WaveOrder};
use proptest::prelude::*;

/// Small, usual and extreme numbers.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        0_u64..10,
        0_u64..100_000,
        Just(u64::MAX),
        Just(u64::MAX / 2),
        any::<u64>(),
    ]
}

fn resources() -> impl Strategy<Value = Resources> {
    (number(), number(), number()).prop_map(|(cpu_milli, memory_mb, gpus)| Resources {
        cpu_milli,
        memory_mb,
        gpus,
    })
}

fn job() -> impl Strategy<Value = JobSpec> {
    let step = (
        1_u32..6,
        resources(),
        number(),
        any::<[bool; 3]>(),
        any::<u32>(),
    );
    let step = step.prop_map(
        |(count, need, estimate_ms, [gang, long, best], limit)| StepSpec {
            count,
            need,
            estimate_ms,
            gang,
            long_running: long,
            best_effort: best,
            may_miss: limit,
            max_per_executor: Some(limit),
            ..StepSpec::default()
        },
    );
    let timetable = proptest::option::of((1_u32..3, number(), number()));
    (prop::collection::vec(step, 1..4), timetable).prop_map(|(steps, timetable)| JobSpec {
        payload: "x".into(),
        steps,
        timetable: timetable.map(|(occurrences, start_at_ms, interval_ms)| Timetable {
            occurrences,
            start_at_ms,
            interval_ms,
        }),
    })
}

fn config(target_ms: u64, stretch: f64) -> QueuesConfig {
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
            target_ms,
            priority: 0,
            max_attempts: 2,
            stretch,
            advice: None,
            public: false,
        }],
        pools: vec![pool("p", false), pool("standby", true)],
        limits: None,
        workspaces: None,
    }
}

fn moment(ms: u64) -> Moment {
    Moment {
        monotonic: Duration::from_millis(100_000 + ms),
        wall_ms: 1_700_000_000_000 + ms,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn extreme_values_take_no_leader_down(
        jobs in prop::collection::vec(job(), 1..4),
        capacity in resources(),
        clocks in prop::collection::vec(number(), 3..4),
        started_ms in number(),
        sequence in number(),
        target_ms in number(),
        stretch in prop_oneof![0.0_f64..4.0, Just(f64::MAX), Just(0.0)],
        ends in prop::collection::vec((number(), any::<u32>()), 0..3),
        wave in (number(), any::<u32>()),
    ) {
        let mut state = State::default();
        let config = config(target_ms, stretch);
        state.apply(Command::Configure { config, content: b"c"[..].into() });
        let options = LeaderOptions::new(Duration::from_secs(5)).hosts(HostOptions {
            move_time: Duration::from_millis(1_500),
            upkeep_time: Duration::from_secs(2),
            handover: Duration::from_secs(3),
            orders_per_s: None,
        });
        let watch = ClaimWatch::new(Duration::ZERO);
        let mut leader = Leader::new(state, options, watch, moment(0));
        let incarnation = ExecutorIncarnation {
            id: "e1".into(),
            started_ms,
            pool: "p".into(),
            address: "127.0.0.1:1".into(),
            zone: "z".into(),
            labels: Vec::new(),
            rack: None,
            capacity,
        };
        let listed = ListedHost {
            name: "h1".into(),
            pool: "p".into(),
            up: true,
            kind: None,
            capacity,
            executor: Some("e1".into()),
        };
        leader.handle(moment(1), Event::HostList { hosts: Some(vec![listed]) });
        leader.handle(moment(1), Event::Announced {
            reply_to: ReplyId(1),
            announcement: Announcement { incarnation, sequence, clock_ms: clocks[0], leaving: false },
        });
        for (number, spec) in (2..).zip(&jobs) {
            leader.handle(moment(2), Event::JobRequest {
                reply_to: ReplyId(number),
                request: JobRequest {
                    authority: "a.example".into(),
                    path: format!("/q/{}", JobId::new(number)),
                    kind: JobRequestKind::Submit(spec.clone()),
                    key: None,
                },
            });
        }
        let order = WaveOrder {
            number: 1,
            hosts: vec!["h1".into()],
            duration_ms: wave.0,
            cap: wave.1,
        };
        leader.handle(moment(3), Event::Wave { reply_to: ReplyId(99), order });
        for tick in 0..60 {
            let now = moment(3 + tick * 100);
            let clock_ms = clocks[usize::try_from(tick % 3).unwrap()];
            for effect in leader.decide(now).after_commit {
                let Effect::Call { executor, call, .. } = effect else { continue };
                let event = match call {
                    Call::Start { run, .. } => Event::StartResult { executor, run, result: Ok(clock_ms) },
                    Call::Stop { run } => Event::StopResult { executor, run, result: Ok(clock_ms) },
                    Call::Hold { sent, .. } => {
                        let run = masticfield_jobs::job::TaskId::new(JobId::new(2), 0, 0, 0).run(1);
                        let running = vec![ListedRun { run, saved: None, percent: u32::MAX, load: Some(u64::MAX) }];
                        let finished = ends.iter().map(|(number, run_number)| ListedEnd {
                            number: *number,
                            run: masticfield_jobs::job::TaskId::new(JobId::new(3), 0, 0, 0).run(*run_number),
                            kind: EndKind::Failed,
                            saved: None,
                        });
                        let report = HoldReport {
                            clock_ms,
                            started_ms: Some(started_ms),
                            running,
                            finished: finished.collect(),
                        };
                        Event::HoldResult { executor, sent, result: Ok(report) }
                    }
                };
                leader.handle(now, event);
            }
            leader.handle(now, Event::AnnouncedAgain(BriefAnnouncement {
                id: "e1".into(),
                started_ms,
                sequence: sequence.saturating_add(tick),
                clock_ms,
            }));
        }
    }

    #[test]
    fn no_bytes_take_a_decoder_down(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        _ = postcard::from_bytes::<Vec<FromEntry>>(&bytes);
        _ = postcard::from_bytes::<Vec<ToEntry>>(&bytes);
        _ = postcard::from_bytes::<Vec<Command>>(&bytes);
        _ = postcard::from_bytes::<State>(&bytes);
    }
}
